/**
 * Waiting requests of one size class, by importance and then by deadline.
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

/** Finds the position of the first request that is more urgent than `candidate`. */
function findPosition(line: readonly TrackedRequest[], candidate: TrackedRequest): number {
	let low = 0;
	let high = line.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (compareDeadlines(line[middle]!, candidate) > 0) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Keeps each importance level sorted with the most urgent request at the end. */
export class SizeClassQueue {
	/**
	 * @example
	 * const line = RequestLine.create();
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

	add(waiting: TrackedRequest): void {
		const level = this.#levels[waiting.request.importance]!;
		level.splice(findPosition(level, waiting), 0, waiting);
		this.#size++;
	}

	/** Removes a request; false when it does not wait here. */
	remove(waiting: TrackedRequest): boolean {
		const level = this.#levels[waiting.request.importance]!;
		const position = findPosition(level, waiting);
		if (level[position] !== waiting) {
			return false;
		}

		level.splice(position, 1);
		this.#size--;
		return true;
	}

	/** Finds the next request to run: the most important, then the earliest deadline. */
	findNext(): TrackedRequest | undefined {
		for (const level of levelsDescending) {
			const first = this.#levels[level]!.at(-1);
			if (first !== undefined) {
				return first;
			}
		}

		return undefined;
	}

	/** Finds the newest request of one importance. */
	findNewest(level: Importance): TrackedRequest | undefined {
		let newest: TrackedRequest | undefined;
		for (const waiting of this.#levels[level]!) {
			if (newest === undefined || waiting.sequence > newest.sequence) {
				newest = waiting;
			}
		}

		return newest;
	}

	/** Finds the least importance that waits. */
	findLeastImportance(): Importance | undefined {
		for (const level of levelsAscending) {
			if (this.#levels[level]!.length > 0) {
				return level;
			}
		}

		return undefined;
	}

	/** Finds a request that is next of its importance and that `isLate` holds for. */
	findLate(isLate: (request: AdmissionRequest) => boolean): TrackedRequest | undefined {
		for (const level of this.#levels) {
			const first = level.at(-1);
			if (first !== undefined && isLate(first.request)) {
				return first;
			}
		}

		return undefined;
	}
}
