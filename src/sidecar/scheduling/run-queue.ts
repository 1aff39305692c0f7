/**
 * Run queue with time slices (cooperative scheduling): while the event loop lags, new work starts only after a
 * further poll for input, and for a short time in each turn. What revokes the work, such as a closed connection or a
 * cancel frame, may lie behind it in the same socket or in another one, and is then read first.
 */

import {type LoopLag} from './loop-lag.ts';

/** Time for new work in each turn; between turns input is read, of which most ends work or revokes it. */
const sliceMs = 20;

export type RunQueueOptions = {
	/** Tells whether input that is read now may have waited for long. */
	readonly lag: Pick<LoopLag, 'isLagging'>;
	/** Schedules a function after the poll for input of the current turn. */
	readonly schedule?: (run: () => void) => void;
	readonly readNowMs?: () => number;
};

type QueuedTask = {readonly run: () => void; readonly turn: number};

export class RunQueue {
	/**
	 * @example
	 * const queue = RunQueue.create({lag});
	 * queue.submit(() => call.start());
	 */
	static create({
		lag,
		schedule = setImmediate,
		readNowMs = () => performance.now(),
	}: RunQueueOptions): RunQueue {
		return new RunQueue({lag, schedule, readNowMs});
	}

	readonly #tasks: QueuedTask[] = [];
	#turn = 0;
	#isScheduled = false;

	private constructor(private readonly options: Required<RunQueueOptions>) {}

	/** Number of tasks that wait. */
	get length(): number {
		return this.#tasks.length;
	}

	/** Runs a task at once, or after a further poll for input while the event loop lags. */
	submit(run: () => void): void {
		if (this.#tasks.length === 0 && !this.options.lag.isLagging(this.options.readNowMs())) {
			run();
			return;
		}

		this.#tasks.push({run, turn: this.#turn});
		this.#scheduleSlice();
	}

	#scheduleSlice(): void {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			this.options.schedule(() => {
				this.#isScheduled = false;
				this.#runSlice();
			});
		}
	}

	#runSlice(): void {
		// Tasks of the turn that ends here have not seen a further poll yet.
		const endingTurn = this.#turn++;
		const endsAtMs = this.options.readNowMs() + sliceMs;
		try {
			while (this.#tasks.length > 0 && this.options.readNowMs() < endsAtMs) {
				if (this.#tasks[0]!.turn === endingTurn) {
					break;
				}

				this.#tasks.shift()!.run();
			}
		} finally {
			if (this.#tasks.length > 0) {
				this.#scheduleSlice();
			}
		}
	}
}
