/**
 * Event queue of the deterministic routing trial.
 */

export type TrialEvent = {readonly atMs: number; run(): void};

/** Priority queue of events by time, on a binary heap. */
export class EventQueue {
	/**
	 * @example
	 * const events = EventQueue.create();
	 */
	static create(): EventQueue {
		return new EventQueue();
	}

	readonly #heap: TrialEvent[] = [];

	private constructor() {
		this.#heap.length = 0;
	}

	/**
	 * Adds an event.
	 *
	 * @example
	 * events.add({atMs: 5, run});
	 */
	add(event: TrialEvent): void {
		const heap = this.#heap;
		let index = heap.push(event) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (heap[parent]!.atMs <= event.atMs) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = event;
	}

	/**
	 * Removes and returns the earliest event.
	 *
	 * @returns undefined if the queue is empty
	 *
	 * @example
	 * const event = events.remove();
	 */
	remove(): TrialEvent | undefined {
		const heap = this.#heap;
		const first = heap[0];
		const last = heap.pop();
		if (first === undefined || last === undefined || heap.length === 0) {
			return first;
		}

		let index = 0;
		for (;;) {
			let child = 2 * index + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && heap[child + 1]!.atMs < heap[child]!.atMs) {
				child += 1;
			}

			if (heap[child]!.atMs >= last.atMs) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
		return first;
	}
}
