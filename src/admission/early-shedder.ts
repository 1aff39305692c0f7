/**
 * Sheds calls at the entry that a downstream guard would shed, before any work is spent on them.
 *
 * The entry counts the outcomes of its own calls for each service, call name and importance, and sends only slightly
 * more calls than were recently answered. Guards shed the least important calls first, so the entry sheds only groups
 * that guards refuse, and none while less important calls of the same service and name are still sent.
 * The share of calls sent grows quickly once refusals end, so the entry recovers without a reset.
 */
import {importance, type Importance} from '../call/types.ts';

/** Time constant of the decaying counts. */
const countTimeConstantMs = 500;
/** Time constant of the refused share; shorter, to follow the end of an overload quickly. */
const refusalTimeConstantMs = 150;
/** Calls sent per answered call while refusals continue. */
const sustainedSendFactor = 1.2;
/** Increase of that factor when there are no refusals. */
const recoverySendFactorIncrease = 1.5;
/** The increase grows by its initial value for each interval since the last refusal, up to a maximum multiple. */
const recoveryIntervalMs = 150;
const maxRecoveryGain = 4;
/** Refused share of the calls sent from which the factor is not increased. */
const sustainedRefusedShare = 0.17;
/**
 * Share of the calls that is always sent as probes, so that a group that is shed can recover. It doubles with each
 * recovery interval since the last refusal, so that groups with few calls or no answered ones recover too.
 */
const probeShare = 0.02;
/** With fewer calls in the decaying counts, no decision is based on them. */
const minCalls = 4;
/** With fewer calls recently sent, the refused share is taken as 0. */
const minSentCalls = 0.5;
/** Shed share from which a less important group counts as closed. */
const closedShare = 0.9;
const importanceLevels = Object.values(importance);
const maxGroups = 4096;

/** Calls that are counted together. */
export type CallGroup = {
	readonly service: string;
	readonly callName: string;
	readonly importance: Importance;
};

/** Outcome of a call with regard to load. */
export type LoadOutcome =
	| 'answered'
	/** Refused for overload, by the called service or one further downstream, or past its deadline. */
	| 'overloaded'
	/** Independent of load. */
	| 'other';

/** Counts of calls that decay exponentially with time. */
type CallCounts = {
	answered: number;
	overloaded: number;
	shed: number;
	/** Answered and overloaded calls, with the shorter time constant. */
	recentAnswered: number;
	recentOverloaded: number;
	lastRefusalAtMs: number;
	updatedAtMs: number;
};

/** Decays the counts for the time since the last update. */
function decayCounts(counts: CallCounts, nowMs: number): void {
	const factor = Math.exp((counts.updatedAtMs - nowMs) / countTimeConstantMs);
	counts.answered *= factor;
	counts.overloaded *= factor;
	counts.shed *= factor;
	const refusalFactor = Math.exp((counts.updatedAtMs - nowMs) / refusalTimeConstantMs);
	counts.recentAnswered *= refusalFactor;
	counts.recentOverloaded *= refusalFactor;
	counts.updatedAtMs = nowMs;
}

/** Computes the refused share of the calls recently sent; 0 if there are too few. */
function computeRefusedShare(counts: CallCounts): number {
	const sent = counts.recentAnswered + counts.recentOverloaded;
	return sent < minSentCalls ? 0 : counts.recentOverloaded / sent;
}

/** Counts the calls sent or shed, with decay. */
function countCalls(counts: CallCounts): number {
	return counts.answered + counts.overloaded + counts.shed;
}

/** Computes the share of calls to shed. */
function computeShedShare(counts: CallCounts): number {
	const all = countCalls(counts);
	if (all < minCalls) {
		return 0;
	}

	const recovery = Math.max(0, 1 - computeRefusedShare(counts) / sustainedRefusedShare);
	const intervals = (counts.updatedAtMs - counts.lastRefusalAtMs) / recoveryIntervalMs;
	const gain = Math.min(maxRecoveryGain, 1 + intervals);
	const probes = Math.min(1, probeShare * 2 ** intervals) * all;
	const allowed =
		(sustainedSendFactor + recoverySendFactorIncrease * recovery * gain) * counts.answered + probes;
	return Math.max(0, 1 - allowed / all);
}

/** Decides which calls of one entry to shed. Times are milliseconds of the monotonic clock. */
export class EarlyShedder {
	/**
	 * @param random - returns uniformly distributed numbers from 0 to 1
	 * @example
	 * const shedder = EarlyShedder.create(Math.random);
	 */
	static create(random: () => number): EarlyShedder {
		return new EarlyShedder(random);
	}

	readonly #random: () => number;
	readonly #countsByGroup = new Map<string, CallCounts>();

	private constructor(random: () => number) {
		this.#random = random;
	}

	/** Decides whether to shed a call before it is sent, and counts it if so. */
	shouldShed(group: CallGroup, nowMs: number): boolean {
		const counts = this.#countsByGroup.get(formatGroupKey(group));
		if (counts === undefined) {
			return false;
		}

		decayCounts(counts, nowMs);
		const shedShare = computeShedShare(counts);
		if (
			shedShare === 0 ||
			this.#random() >= shedShare ||
			this.#areLessImportantCallsSent(group, nowMs)
		) {
			return false;
		}

		counts.shed++;
		return true;
	}

	/** Records the outcome of a call that was sent. */
	recordOutcome(group: CallGroup, outcome: LoadOutcome, nowMs: number): void {
		const counts = this.#getOrCreate(formatGroupKey(group), nowMs);
		decayCounts(counts, nowMs);
		switch (outcome) {
			case 'answered': {
				counts.answered++;
				counts.recentAnswered++;
				break;
			}

			case 'overloaded': {
				counts.overloaded++;
				counts.recentOverloaded++;
				counts.lastRefusalAtMs = nowMs;
				break;
			}

			case 'other': {
				break;
			}
		}
	}

	/** Whether calls of a group are refused more often than the extra calls and probes of the entry explain. */
	isOverloaded(group: CallGroup, nowMs: number): boolean {
		const counts = this.#countsByGroup.get(formatGroupKey(group));
		if (counts === undefined) {
			return false;
		}

		decayCounts(counts, nowMs);
		return counts.overloaded >= 1 && computeRefusedShare(counts) > sustainedRefusedShare / 2;
	}

	/** Whether less important calls of the same service and name arrive and are not shed almost entirely. */
	#areLessImportantCallsSent(group: CallGroup, nowMs: number): boolean {
		for (const level of importanceLevels) {
			if (level >= group.importance) {
				return false;
			}

			const counts = this.#countsByGroup.get(formatGroupKey({...group, importance: level}));
			if (counts === undefined) {
				continue;
			}

			decayCounts(counts, nowMs);
			if (countCalls(counts) >= minCalls && computeShedShare(counts) < closedShare) {
				return true;
			}
		}

		return false;
	}

	#getOrCreate(key: string, nowMs: number): CallCounts {
		const existing = this.#countsByGroup.get(key);
		if (existing !== undefined) {
			return existing;
		}

		if (this.#countsByGroup.size >= maxGroups) {
			this.#countsByGroup.clear();
		}

		const added: CallCounts = {
			answered: 0,
			overloaded: 0,
			shed: 0,
			recentAnswered: 0,
			recentOverloaded: 0,
			lastRefusalAtMs: nowMs,
			updatedAtMs: nowMs,
		};
		this.#countsByGroup.set(key, added);
		return added;
	}
}

function formatGroupKey(group: CallGroup): string {
	return `${group.service}/${group.callName}/${group.importance}`;
}
