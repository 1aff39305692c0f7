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
const memoryMs = 500;
/** Time constant of the refused share, which has to follow the end of an overload quickly. */
const refusalMemoryMs = 150;
/** Calls let through per answered call while refusals go on. */
const steadyFactor = 1.2;
/** What the factor gains when there are no refusals. */
const openingFactor = 1.5;
/** The gain grows by itself once more with each such time since the last refusal, up to a bound. */
const quietMs = 150;
const maxQuietGain = 4;
/** Share of refusals among the calls let through at which the factor is the steady one. */
const steadyRefusedShare = 0.17;
/**
 * Share of the calls that always goes through, so that a closed kind opens again. It doubles with each quiet
 * time since the last refusal, so that a kind with few calls or none answered opens as well.
 */
const probeShare = 0.02;
/** Fewer calls than this within the memory are no measure. */
const minCalls = 4;
/** With fewer calls sent of late, the refused share counts as 0. */
const leastSent = 0.5;
/** Share held back from which a less important kind counts as closed. */
const closedShare = 0.9;
const levels = Object.values(importance);
const maxKinds = 4096;

/** Names what is counted together. */
export type EarlyShedKind = {
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
type Counts = {
	answered: number;
	overloaded: number;
	held: number;
	/** Answered and overloaded with the shorter memory. */
	lateAnswered: number;
	lateOverloaded: number;
	refusedAtMs: number;
	atMs: number;
};

/** Lowers the counts by the time that has passed. */
function updateCounts(counts: Counts, nowMs: number): void {
	const factor = Math.exp((counts.atMs - nowMs) / memoryMs);
	counts.answered *= factor;
	counts.overloaded *= factor;
	counts.held *= factor;
	const lateFactor = Math.exp((counts.atMs - nowMs) / refusalMemoryMs);
	counts.lateAnswered *= lateFactor;
	counts.lateOverloaded *= lateFactor;
	counts.atMs = nowMs;
}

/** Share of the calls let through that were refused; 0 without calls. */
function computeRefusedShare(counts: Counts): number {
	const sent = counts.lateAnswered + counts.lateOverloaded;
	return sent < leastSent ? 0 : counts.lateOverloaded / sent;
}

/** Calls within the memory, held back or sent. */
function countCalls(counts: Counts): number {
	return counts.answered + counts.overloaded + counts.held;
}

/** Computes the share of calls to hold back. */
function computeHeldShare(counts: Counts): number {
	const all = countCalls(counts);
	if (all < minCalls) {
		return 0;
	}

	const calm = Math.max(0, 1 - computeRefusedShare(counts) / steadyRefusedShare);
	const quietTimes = (counts.atMs - counts.refusedAtMs) / quietMs;
	const quiet = Math.min(maxQuietGain, 1 + quietTimes);
	const probes = Math.min(1, probeShare * 2 ** quietTimes) * all;
	const allowed = (steadyFactor + openingFactor * calm * quiet) * counts.answered + probes;
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
	readonly #kinds = new Map<string, Counts>();

	private constructor(random: () => number) {
		this.#random = random;
	}

	/** Decides on a call before it is sent; a call that is held back is counted. */
	isShed(kind: EarlyShedKind, nowMs: number): boolean {
		const counts = this.#kinds.get(formatKind(kind));
		if (counts === undefined) {
			return false;
		}

		updateCounts(counts, nowMs);
		const share = computeHeldShare(counts);
		if (share === 0 || this.#random() >= share || this.#isLessImportantOpen(kind, nowMs)) {
			return false;
		}

		counts.held++;
		return true;
	}

	/** Counts the end of a call that was sent. */
	recordOutcome(kind: EarlyShedKind, outcome: LoadOutcome, nowMs: number): void {
		const counts = this.#readOrAdd(formatKind(kind), nowMs);
		updateCounts(counts, nowMs);
		switch (outcome) {
			case 'answered': {
				counts.answered++;
				counts.lateAnswered++;
				break;
			}

			case 'overloaded': {
				counts.overloaded++;
				counts.lateOverloaded++;
				counts.refusedAtMs = nowMs;
				break;
			}

			case 'other': {
				break;
			}
		}
	}

	/** Whether calls of a kind are refused at present more often than the entry provokes by itself. */
	isOverloaded(kind: EarlyShedKind, nowMs: number): boolean {
		const counts = this.#kinds.get(formatKind(kind));
		if (counts === undefined) {
			return false;
		}

		updateCounts(counts, nowMs);
		return counts.overloaded >= 1 && computeRefusedShare(counts) > steadyRefusedShare / 2;
	}

	/** Whether less important calls of the same service and name come and go through. */
	#isLessImportantOpen(kind: EarlyShedKind, nowMs: number): boolean {
		for (const level of levels) {
			if (level >= kind.importance) {
				return false;
			}

			const counts = this.#kinds.get(formatKind({...kind, importance: level}));
			if (counts === undefined) {
				continue;
			}

			updateCounts(counts, nowMs);
			if (countCalls(counts) >= minCalls && computeHeldShare(counts) < closedShare) {
				return true;
			}
		}

		return false;
	}

	#readOrAdd(name: string, nowMs: number): Counts {
		const known = this.#kinds.get(name);
		if (known !== undefined) {
			return known;
		}

		if (this.#kinds.size >= maxKinds) {
			this.#kinds.clear();
		}

		const added: Counts = {
			answered: 0,
			overloaded: 0,
			held: 0,
			lateAnswered: 0,
			lateOverloaded: 0,
			refusedAtMs: nowMs,
			atMs: nowMs,
		};
		this.#kinds.set(name, added);
		return added;
	}
}

function formatKind(kind: EarlyShedKind): string {
	return `${kind.service}/${kind.callName}/${kind.importance}`;
}
