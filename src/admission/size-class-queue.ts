/**
 * Queue of waiting requests of one size class, ordered by importance and then by deadline.
 */
import {importance, type Importance} from '../call/types.ts';
import {type AdmissionRequest} from './types.ts';
import {type TrackedRequest} from './tracked-request.ts';

const levelsDescending: readonly Importance[] = [
	importance.critical,
	importance.high,
	importance.normal,
	importance.low,
	importance.background,
];
const levelsAscending: readonly Importance[] = levelsDescending.toReversed();

/** Compares two requests of equal importance: earlier deadline first, then earlier arrival. */
function compareDeadlines(a: TrackedRequest, b: TrackedRequest): number {
	return a.request.deadlineAtMs - b.request.deadlineAtMs || a.sequence - b.sequence;
}

/**
 * Finds the first position whose request is at least as urgent as `candidate`, by binary search.
 *
 * Requests are sorted from the least to the most urgent.
 */
function findPosition(requests: readonly TrackedRequest[], candidate: TrackedRequest): number {
	let low = 0;
	let high = requests.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (compareDeadlines(requests[middle]!, candidate) > 0) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Keeps each importance level sorted with the most urgent request last. */
export class SizeClassQueue {
	/**
	 * @example
	 * const queue = SizeClassQueue.create();
	 */
	static create(): SizeClassQueue {
		return new SizeClassQueue();
	}

	readonly #levels: readonly TrackedRequest[][];
	#size = 0;

	private constructor() {
		this.#levels = levelsAscending.map(() => []);
	}

	get size(): number {
		return this.#size;
	}

	add(tracked: TrackedRequest): void {
		const level = this.#levels[tracked.request.importance]!;
		level.splice(findPosition(level, tracked), 0, tracked);
		this.#size++;
	}

	/** Removes a request; returns false when it is not in this queue. */
	remove(tracked: TrackedRequest): boolean {
		const level = this.#levels[tracked.request.importance]!;
		const position = findPosition(level, tracked);
		if (level[position] !== tracked) {
			return false;
		}

		level.splice(position, 1);
		this.#size--;
		return true;
	}

	/** Finds the next request to run: the most important one, with the earliest deadline among equals. */
	findNext(): TrackedRequest | undefined {
		for (const level of levelsDescending) {
			const first = this.#levels[level]!.at(-1);
			if (first !== undefined) {
				return first;
			}
		}

		return undefined;
	}

	/** Finds the request of one importance that arrived last. */
	findNewest(level: Importance): TrackedRequest | undefined {
		let newest: TrackedRequest | undefined;
		for (const tracked of this.#levels[level]!) {
			if (newest === undefined || tracked.sequence > newest.sequence) {
				newest = tracked;
			}
		}

		return newest;
	}

	/** Finds the lowest importance among the requests in the queue. */
	findLeastImportance(): Importance | undefined {
		for (const level of levelsAscending) {
			if (this.#levels[level]!.length > 0) {
				return level;
			}
		}

		return undefined;
	}

	/** Finds a request that would miss its deadline, among the first of each importance. */
	findLate(willMissDeadline: (request: AdmissionRequest) => boolean): TrackedRequest | undefined {
		for (const level of this.#levels) {
			const first = level.at(-1);
			if (first !== undefined && willMissDeadline(first.request)) {
				return first;
			}
		}

		return undefined;
	}
}
