/**
 * Chooses which sidecars of a data centre watch the store for the others (rendezvous hashing).
 *
 * Each sidecar ranks the members of its data centre by a hash of their names; the first few that are ready and
 * not silent watch the store and relay its changes. So the calls to the store don't grow with every sidecar
 * that each change would wake, and a watcher that stops or falls silent is replaced without an election.
 * During a change two sidecars may disagree; then more of them watch for a moment, never none.
 */
import {createHash} from 'node:crypto';
import {type Member} from '../types.ts';

/** Sidecars of one data centre that watch the store at the same time. */
export const watchersPerDataCentre = 2;
/** A watcher relays at least this often, without changes too. */
export const relayIntervalMs = 1000;
/** Two lost relays and the delay of a slow peer; a watcher that is silent for longer is replaced. */
export const silenceLimitMs = 2800;
/** Delay between the members that could replace a silent watcher, so that only the first of them does. */
const takeoverStaggerMs = 300;
/** A sidecar without any relay for this long reads the store itself. */
const followLimitMs = silenceLimitMs + 2 * takeoverStaggerMs;

/** A member of the data centre; `heardAtMs` is when it last relayed or was last announced. */
type Candidate = {readonly rank: string; readonly isReady: boolean; heardAtMs: number};

export class WatcherGroup {
	/**
	 * @param options - name and data centre of this instance
	 * @example
	 * const group = WatcherGroup.create({instance: 'sidecar-est-a-1', dataCentre: 'est-a'});
	 * group.recordMember(member, nowMs);
	 * if (group.isWatcher(nowMs)) watchStore();
	 */
	static create(options: {readonly instance: string; readonly dataCentre: string}): WatcherGroup {
		return new WatcherGroup(options);
	}

	readonly #candidates = new Map<string, Candidate>();
	readonly #ownRank: string;
	#relayedAtMs = Number.NEGATIVE_INFINITY;

	private constructor(
		private readonly options: {readonly instance: string; readonly dataCentre: string},
	) {
		this.#ownRank = computeRank(options.instance);
	}

	/** Records an announcement of any member; those of other data centres are left out. */
	recordMember(member: Member, nowMs: number): void {
		const {instance, dataCentre} = this.options;
		if (member.dataCentre !== dataCentre || member.instance === instance) {
			return;
		}

		const isReady = member.state === 'ready';
		const known = this.#candidates.get(member.instance);
		const rank = known?.rank ?? computeRank(member.instance);
		this.#candidates.set(member.instance, {rank, isReady, heardAtMs: nowMs});
	}

	removeMember(instance: string): void {
		this.#candidates.delete(instance);
	}

	/** Records a relay of the store's state from a peer. */
	recordRelay(instance: string, nowMs: number): void {
		this.#relayedAtMs = nowMs;
		const candidate = this.#candidates.get(instance);
		if (candidate !== undefined) {
			candidate.heardAtMs = nowMs;
		}
	}

	/** Whether this sidecar watches the store for its data centre. */
	isWatcher(nowMs: number): boolean {
		return this.#hasTurn(watchersPerDataCentre, nowMs);
	}

	/** Whether this sidecar is the first watcher; the others stand by and may call less often. */
	isFirstWatcher(nowMs: number): boolean {
		return this.#hasTurn(1, nowMs);
	}

	/**
	 * Whether watchers relay the store's changes, so that this sidecar needs no calls of its own. Watchers that
	 * were just announced are given time for their first relay.
	 */
	isFollowing(nowMs: number): boolean {
		const heardAtMs = this.#listHeardTimes();
		const announcedAtMs = selectNthLatest(heardAtMs, watchersPerDataCentre);
		const lastMs = Math.max(this.#relayedAtMs, announcedAtMs);
		return nowMs - lastMs < followLimitMs && !this.isWatcher(nowMs);
	}

	/** Lists the other instances of the data centre, in any state. */
	listPeers(): Iterable<string> {
		return this.#candidates.keys();
	}

	/** Whether fewer than `count` members with a better rank are alive. */
	#hasTurn(count: number, nowMs: number): boolean {
		const heardAtMs = this.#listHeardTimes();
		// The members before this one replace a silent watcher first.
		const surplus = Math.max(0, heardAtMs.length - watchersPerDataCentre);
		const limitMs = silenceLimitMs + surplus * takeoverStaggerMs;
		return nowMs - selectNthLatest(heardAtMs, count) >= limitMs;
	}

	/** Lists when each ready member with a better rank was last heard of. */
	#listHeardTimes(): number[] {
		const heardAtMs: number[] = [];
		for (const candidate of this.#candidates.values()) {
			if (candidate.isReady && candidate.rank < this.#ownRank) {
				heardAtMs.push(candidate.heardAtMs);
			}
		}

		return heardAtMs;
	}
}

/** Ranks spread evenly over the instances, whatever their names have in common. */
function computeRank(instance: string): string {
	return createHash('sha256').update(instance).digest('hex').slice(0, 16);
}

/** Returns negative infinity when there are fewer times. */
function selectNthLatest(timesMs: readonly number[], count: number): number {
	const sorted = timesMs.toSorted((first, second) => second - first);
	return sorted[count - 1] ?? Number.NEGATIVE_INFINITY;
}
