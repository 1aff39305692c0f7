/**
 * Events of a trial in order of their time, on a clock that stands still between them.
 */
import {setImmediate as waitForTurn} from 'node:timers/promises';

type Event = {readonly atMs: number; readonly sequence: number; readonly run: () => void};

function isBefore(a: Event, b: Event): boolean {
	return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

/** Runs events from a binary heap. */
export class EventLoop {
	/**
	 * @example
	 * const loop = EventLoop.create();
	 */
	static create(): EventLoop {
		return new EventLoop();
	}

	readonly #heap: Event[];
	#nowMs = 0;
	#sequence = 0;

	private constructor() {
		this.#heap = [];
	}

	readonly readNowMs = (): number => this.#nowMs;

	/** Runs a function at a time that is not in the past. */
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

	/** Runs all events up to a time; promises settle after each. */
	async run(untilMs: number): Promise<void> {
		for (;;) {
			const next = this.#takeFirst(untilMs);
			if (next === undefined) {
				return;
			}

			this.#nowMs = next.atMs;
			next.run();
			await waitForTurn();
		}
	}

	#takeFirst(untilMs: number): Event | undefined {
		const first = this.#heap[0];
		if (first === undefined || first.atMs > untilMs) {
			return undefined;
		}

		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#sink();
		}

		return first;
	}

	#sink(): void {
		let index = 0;
		for (;;) {
			const left = index * 2 + 1;
			const right = left + 1;
			let least = index;
			for (const child of [left, right]) {
				if (child < this.#heap.length && isBefore(this.#heap[child]!, this.#heap[least]!)) {
					least = child;
				}
			}

			if (least === index) {
				return;
			}

			this.#swap(index, least);
			index = least;
		}
	}

	#swap(a: number, b: number): void {
		const held = this.#heap[a]!;
		this.#heap[a] = this.#heap[b]!;
		this.#heap[b] = held;
	}
}
