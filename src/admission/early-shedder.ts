/**
 * Sheds calls at the entry that would be shed further down, before any work is spent on them.
 *
 * The entry counts how its own calls ended, for each kind of call and importance, and lets little more through
 * than what was answered of late. Since guards shed the least important first, only what they shed is held back,
 * and never while less important calls of the same kind still go through.
 * The share let through grows quickly once refusals end, so the entry opens by itself.
 */
import {importance, type Importance} from '../call/types.ts';

/** Time constant of the counts. */
const countTimeConstantMs = 500;
/** Time constant of the refused share, which has to follow the end of an overload quickly. */
const refusalTimeConstantMs = 150;
/** Calls let through per answered call while refusals go on. */
const sustainedSendFactor = 1.2;
/** What the factor gains when there are no refusals. */
const recoverySendFactor = 1.5;
/** The gain grows by itself once more with each such time since the last refusal, up to a bound. */
const recoveryIntervalMs = 150;
const maxRecoveryGain = 4;
/** Share of refusals among the calls let through at which the factor is the steady one. */
const sustainedRefusedShare = 0.17;
/**
 * Share of the calls that always goes through, so that a closed kind opens again. It doubles with each quiet
 * time since the last refusal, so that a kind with few calls or none answered opens as well.
 */
const probeShare = 0.02;
/** Fewer calls than this within the memory are no measure. */
const minCalls = 4;
/** With fewer calls sent of late, the refused share counts as 0. */
const minSentCalls = 0.5;
/** Share held back from which a less important kind counts as closed. */
const closedShare = 0.9;
const importanceLevels = Object.values(importance);
const maxGroups = 4096;

/** Names what is counted together. */
export type CallGroup = {
	readonly service: string;
	readonly callName: string;
	readonly importance: Importance;
};

/** How a call ended, as far as load is concerned. */
export type LoadOutcome =
	| 'answered'
	/** Refused for overload, here or further down, or too late. */
	| 'overloaded'
	/** Says nothing about load. */
	| 'other';

/** Counts that decay with time. */
type CallCounts = {
	answered: number;
	overloaded: number;
	shed: number;
	/** Answered and overloaded with the shorter memory. */
	recentAnswered: number;
	recentOverloaded: number;
	lastRefusalAtMs: number;
	updatedAtMs: number;
};

/** Lowers the counts by the time that has passed. */
function decayCounts(counts: CallCounts, nowMs: number): void {
	const factor = Math.exp((counts.updatedAtMs - nowMs) / countTimeConstantMs);
	counts.answered *= factor;
	counts.overloaded *= factor;
	counts.shed *= factor;
	const lateFactor = Math.exp((counts.updatedAtMs - nowMs) / refusalTimeConstantMs);
	counts.recentAnswered *= lateFactor;
	counts.recentOverloaded *= lateFactor;
	counts.updatedAtMs = nowMs;
}

/** Share of the calls let through that were refused; 0 without calls. */
function computeRefusedShare(counts: CallCounts): number {
	const sent = counts.recentAnswered + counts.recentOverloaded;
	return sent < minSentCalls ? 0 : counts.recentOverloaded / sent;
}

/** Calls within the memory, held back or sent. */
function countCalls(counts: CallCounts): number {
	return counts.answered + counts.overloaded + counts.shed;
}

/** Computes the share of calls to hold back. */
function computeShedShare(counts: CallCounts): number {
	const all = countCalls(counts);
	if (all < minCalls) {
		return 0;
	}

	const calm = Math.max(0, 1 - computeRefusedShare(counts) / sustainedRefusedShare);
	const quietTimes = (counts.updatedAtMs - counts.lastRefusalAtMs) / recoveryIntervalMs;
	const quiet = Math.min(maxRecoveryGain, 1 + quietTimes);
	const probes = Math.min(1, probeShare * 2 ** quietTimes) * all;
	const allowed =
		(sustainedSendFactor + recoverySendFactor * calm * quiet) * counts.answered + probes;
	return Math.max(0, 1 - allowed / all);
}

/** Keeps the counts of one entry. Times are milliseconds of the monotonic clock. */
export class EarlyShedder {
	/**
	 * @param random - uniform numbers from 0 to 1
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

	/** Decides on a call before it is sent; a call that is held back is counted. */
	isShed(kind: CallGroup, nowMs: number): boolean {
		const counts = this.#countsByGroup.get(formatGroupKey(kind));
		if (counts === undefined) {
			return false;
		}

		decayCounts(counts, nowMs);
		const share = computeShedShare(counts);
		if (share === 0 || this.#random() >= share || this.#areLessImportantCallsSent(kind, nowMs)) {
			return false;
		}

		counts.shed++;
		return true;
	}

	/** Counts the end of a call that was sent. */
	recordOutcome(kind: CallGroup, outcome: LoadOutcome, nowMs: number): void {
		const counts = this.#getOrCreate(formatGroupKey(kind), nowMs);
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

	/** Whether calls of a kind are refused at present more often than the entry provokes by itself. */
	isOverloaded(kind: CallGroup, nowMs: number): boolean {
		const counts = this.#countsByGroup.get(formatGroupKey(kind));
		if (counts === undefined) {
			return false;
		}

		decayCounts(counts, nowMs);
		return counts.overloaded >= 1 && computeRefusedShare(counts) > sustainedRefusedShare / 2;
	}

	/** Whether less important calls of the same service and name come and go through. */
	#areLessImportantCallsSent(kind: CallGroup, nowMs: number): boolean {
		for (const level of importanceLevels) {
			if (level >= kind.importance) {
				return false;
			}

			const counts = this.#countsByGroup.get(formatGroupKey({...kind, importance: level}));
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

	#getOrCreate(name: string, nowMs: number): CallCounts {
		const known = this.#countsByGroup.get(name);
		if (known !== undefined) {
			return known;
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
		this.#countsByGroup.set(name, added);
		return added;
	}
}

function formatGroupKey(kind: CallGroup): string {
	return `${kind.service}/${kind.callName}/${kind.importance}`;
}
