/**
 * Discrete-event scheduler of the admission trial. Its clock advances only from one event to the next.
 */
import {setImmediate as waitForEventLoopTurn} from 'node:timers/promises';

type ScheduledEvent = {readonly atMs: number; readonly sequence: number; readonly run: () => void};

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
	return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

/** Runs events in order of time, and in order of scheduling at equal times, from a binary heap. */
export class EventScheduler {
	/**
	 * @example
	 * const scheduler = EventScheduler.create();
	 */
	static create(): EventScheduler {
		return new EventScheduler();
	}

	readonly #heap: ScheduledEvent[];
	#nowMs = 0;
	#sequence = 0;

	private constructor() {
		this.#heap = [];
	}

	readonly readNowMs = (): number => this.#nowMs;

	/** Schedules a function to run at a time that is not in the past. */
	readonly schedule = (atMs: number, run: () => void): void => {
		this.#heap.push({atMs, sequence: this.#sequence++, run});
		let index = this.#heap.length - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(this.#heap[index]!, this.#heap[parent]!)) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	};

	/** Runs all events up to a time. Waits for a turn of Node's event loop after each, so that promises settle. */
	async run(untilMs: number): Promise<void> {
		for (;;) {
			const next = this.#removeFirst(untilMs);
			if (next === undefined) {
				return;
			}

			this.#nowMs = next.atMs;
			next.run();
			await waitForEventLoopTurn();
		}
	}

	#removeFirst(untilMs: number): ScheduledEvent | undefined {
		const first = this.#heap[0];
		if (first === undefined || first.atMs > untilMs) {
			return undefined;
		}

		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#siftDown();
		}

		return first;
	}

	#siftDown(): void {
		let index = 0;
		for (;;) {
			const left = index * 2 + 1;
			const right = left + 1;
			let smallest = index;
			for (const child of [left, right]) {
				if (child < this.#heap.length && isBefore(this.#heap[child]!, this.#heap[smallest]!)) {
					smallest = child;
				}
			}

			if (smallest === index) {
				return;
			}

			this.#swap(index, smallest);
			index = smallest;
		}
	}

	#swap(a: number, b: number): void {
		const first = this.#heap[a]!;
		this.#heap[a] = this.#heap[b]!;
		this.#heap[b] = first;
	}
}
