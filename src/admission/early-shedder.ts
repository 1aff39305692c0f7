/**
 * Sheds calls at the entry that a guard further down would shed anyway, before work is spent on them.
 *
 * Each guard reports a rank: the least importance it admits plus the share of that importance it sheds. All
 * entries shed the same calls, since the share is compared with a number derived from the request id: a call
 * that is let through at one hop is let through at the next.
 */
import {type GuardReport, type Importance} from '../call/types.ts';

/** Reports older than this no longer count. */
const expireAfterMs = 1000;
/** Share of the calls below the rank that go through, so that guards see demand while they are closed. */
const probeShare = 0.01;

/** Weight of a new rank in the mean over the answers to one kind of call. */
const neededWeight = 0.1;

type RankReport = {rank: number; atMs: number};

export type EarlyShedRequest = {
	readonly requestId: string;
	readonly importance: Importance;
	readonly service: string;
	readonly callName: string;
	/** Services further down that the call is known to need. */
	readonly needs: readonly string[];
};

/** Names of the servers that could take a call, by service. */
export type ServiceServers = ReadonlyMap<string, readonly string[]>;

/**
 * Computes a number from 0 to 1 that is the same for a request at every hop.
 *
 * @example
 * const share = computeRequestShare('0b5c…');
 */
export function computeRequestShare(requestId: string): number {
	let hash = 2_166_136_261;
	for (let index = 0; index < requestId.length; index++) {
		// FNV-1a with a final mix, in 32 bits.
		// eslint-disable-next-line no-bitwise
		hash = Math.imul(hash ^ requestId.codePointAt(index)!, 16_777_619);
	}

	// eslint-disable-next-line no-bitwise
	hash = Math.imul(hash ^ (hash >>> 15), 2_246_822_507);
	// eslint-disable-next-line no-bitwise
	return ((hash ^ (hash >>> 13)) >>> 0) / 4_294_967_296;
}

function isExpired(report: RankReport, nowMs: number): boolean {
	return nowMs - report.atMs > expireAfterMs;
}

/** Keeps the latest ranks of the servers and decides on calls. */
export class EarlyShedder {
	/**
	 * @param random - uniform numbers from 0 to 1, for the probes
	 * @example
	 * const shedder = EarlyShedder.create(Math.random);
	 */
	static create(random: () => number): EarlyShedder {
		return new EarlyShedder(random);
	}

	readonly #random: () => number;
	/** Latest ranks by server. */
	readonly #ranks = new Map<string, RankReport>();
	/** Mean ranks further down by kind of call. */
	readonly #needed = new Map<string, RankReport>();
	#servers: ServiceServers = new Map();

	private constructor(random: () => number) {
		this.#random = random;
	}

	/** Replaces the servers; reports of others are forgotten. */
	setServers(servers: ServiceServers): void {
		this.#servers = servers;
		const known = new Set([...servers.values()].flat());
		for (const server of this.#ranks.keys()) {
			if (!known.has(server)) {
				this.#ranks.delete(server);
			}
		}
	}

	/**
	 * Notes what a guard reported with an answer.
	 *
	 * @returns the rank that the call met there and further down
	 */
	recordReport(service: string, callName: string, report: GuardReport, nowMs: number): number {
		const rank = report.admissionLevel + report.shedShare;
		this.#ranks.set(report.server, {rank, atMs: nowMs});
		this.#recordNeeded(`${service}/${callName}`, report.neededRank, nowMs);
		return Math.max(rank, report.neededRank);
	}

	/** Whether a call is to be refused as `overload` before it is sent. */
	isShed(request: EarlyShedRequest, nowMs: number): boolean {
		const rank = this.#computeCallRank(request, nowMs);
		if (request.importance >= rank) {
			return false;
		}

		const isBelow = request.importance + computeRequestShare(request.requestId) < rank;
		return isBelow && this.#random() >= probeShare;
	}

	/**
	 * Computes the rank of a service: the least among the servers that could take a call.
	 *
	 * A server without a fresh report counts as open, so one closed server does not close its service.
	 */
	computeServiceRank(service: string, nowMs: number): number {
		let least = Number.POSITIVE_INFINITY;
		for (const server of this.#servers.get(service) ?? []) {
			const report = this.#ranks.get(server);
			if (report === undefined || isExpired(report, nowMs)) {
				return 0;
			}

			least = Math.min(least, report.rank);
		}

		return Number.isFinite(least) ? least : 0;
	}

	#computeCallRank(request: EarlyShedRequest, nowMs: number): number {
		const {service, callName, needs} = request;
		let rank = this.computeServiceRank(service, nowMs);
		for (const needed of needs) {
			rank = Math.max(rank, this.computeServiceRank(needed, nowMs));
		}

		const further = this.#needed.get(`${service}/${callName}`);
		return further === undefined || isExpired(further, nowMs) ? rank : Math.max(rank, further.rank);
	}

	#recordNeeded(call: string, rank: number, nowMs: number): void {
		const known = this.#needed.get(call);
		if (known === undefined || isExpired(known, nowMs)) {
			this.#needed.set(call, {rank, atMs: nowMs});
			return;
		}

		known.rank += (rank - known.rank) * neededWeight;
		known.atMs = nowMs;
	}
}
