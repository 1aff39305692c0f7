/** Requests that wait for a slot, ordered by priority and then by deadline. */

export type QueuedCall = {readonly priority: number; readonly deadlineAtMs: number};

export class AdmissionQueue<T extends QueuedCall> {
	/**
	 * @example
	 * const queue = AdmissionQueue.create<GuardedCall>();
	 */
	static create<T extends QueuedCall>(): AdmissionQueue<T> {
		return new AdmissionQueue<T>();
	}

	readonly #calls: T[] = [];

	private constructor() {
		// Instances are created with `create`.
	}

	get length(): number {
		return this.#calls.length;
	}

	/** Counts the queued calls that would start before a call. */
	countAhead(call: QueuedCall): number {
		return this.#findInsertIndex(call);
	}

	add(call: T): void {
		this.#calls.splice(this.#findInsertIndex(call), 0, call);
	}

	/** Removes and returns the next call; undefined when the queue is empty. */
	removeFirst(): T | undefined {
		return this.#calls.shift();
	}

	remove(call: T): void {
		const index = this.#calls.indexOf(call);
		if (index !== -1) {
			this.#calls.splice(index, 1);
		}
	}

	/** Removes and returns all calls that match a condition. */
	removeWhere(isMatch: (call: T) => boolean): T[] {
		const removed = this.#calls.filter(call => isMatch(call));
		for (const call of removed) {
			this.remove(call);
		}

		return removed;
	}

	#findInsertIndex(call: QueuedCall): number {
		let low = 0;
		let high = this.#calls.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compareCalls(this.#calls[middle]!, call) <= 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

function compareCalls(first: QueuedCall, second: QueuedCall): number {
	return first.priority - second.priority || first.deadlineAtMs - second.deadlineAtMs;
}
