/**
 * Run queue with time slices (cooperative scheduling): while input is read late, new work starts only after a
 * further poll for input, and for a short time in each turn. What revokes the work, such as a closed connection or a
 * cancel frame, may lie behind it in the same socket or in another one, and is then read first.
 *
 * Connections that wait to be accepted go before new work, since the event loop accepts one in each turn.
 */

import {type AcceptQueue} from './accept-queue.ts';
import {type LoopLag} from './loop-lag.ts';

/** Time for new work in each turn; between turns input is read, of which most ends work or revokes it. */
const sliceMs = 20;
/** Longest time between slices in which only connections are accepted. */
const maxHoldMs = 20;

export type RunQueueOptions = {
	/** Tells whether input that is read now may have waited for long. */
	readonly lag: Pick<LoopLag, 'isLagging'>;
	/** Connections that wait at the listeners of this process. */
	readonly acceptQueues?: ReadonlyArray<Pick<AcceptQueue, 'isLate' | 'isPending'>>;
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
		acceptQueues = [],
		schedule = setImmediate,
		readNowMs = () => performance.now(),
	}: RunQueueOptions): RunQueue {
		return new RunQueue({lag, acceptQueues, schedule, readNowMs});
	}

	readonly #tasks: QueuedTask[] = [];
	#turn = 0;
	#isScheduled = false;
	#heldSinceMs = 0;

	private constructor(private readonly options: Required<RunQueueOptions>) {}

	/** Number of tasks that wait. */
	get length(): number {
		return this.#tasks.length;
	}

	/** Runs a task at once, or after a further poll for input while input is read late. */
	submit(run: () => void): void {
		if (this.#tasks.length === 0) {
			const nowMs = this.options.readNowMs();
			if (!this.#isInputLate(nowMs)) {
				run();
				return;
			}

			this.#heldSinceMs = nowMs;
		}

		this.#tasks.push({run, turn: this.#turn});
		this.#scheduleSlice();
	}

	#isInputLate(nowMs: number): boolean {
		const {lag, acceptQueues} = this.options;
		return lag.isLagging(nowMs) || acceptQueues.some(queue => queue.isLate());
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
		const nowMs = this.options.readNowMs();
		const hasWaitingConnections = this.options.acceptQueues.some(queue => queue.isPending);
		if (hasWaitingConnections && nowMs - this.#heldSinceMs < maxHoldMs) {
			this.#scheduleSlice();
			return;
		}

		const endsAtMs = nowMs + sliceMs;
		try {
			while (this.#tasks.length > 0 && this.options.readNowMs() < endsAtMs) {
				if (this.#tasks[0]!.turn === endingTurn) {
					break;
				}

				this.#tasks.shift()!.run();
			}
		} finally {
			this.#heldSinceMs = this.options.readNowMs();
			if (this.#tasks.length > 0) {
				this.#scheduleSlice();
			}
		}
	}
}
