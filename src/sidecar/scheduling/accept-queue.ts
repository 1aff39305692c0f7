/**
 * Estimates how long new connections wait in the accept queue of a listener.
 *
 * The event loop accepts at most one connection in each turn (libuv 1.45 and later). In a busy process connections can
 * therefore wait for seconds although each turn is short, and a timer doesn't show it. Only a turn without an accept
 * shows that the queue is empty.
 */

/** A connection that is accepted after a wait is read one turn later, and its end one more turn later. */
const holdMs = 50;
/** A shorter wait is no reason to expect that a request was revoked meanwhile. */
const minWaitMs = 10;

export type AcceptQueueOptions = {
	/** Schedules a function after the poll for input of the current turn. */
	readonly schedule?: (run: () => void) => void;
	readonly readNowMs?: () => number;
};

export class AcceptQueue {
	/**
	 * @example
	 * const acceptQueue = AcceptQueue.create();
	 * server.on('connection', () => acceptQueue.recordAccept());
	 */
	static create({
		schedule = setImmediate,
		readNowMs = () => performance.now(),
	}: AcceptQueueOptions = {}): AcceptQueue {
		return new AcceptQueue(schedule, readNowMs);
	}

	/** Whether the latest turn accepted a connection, so that more may wait. */
	#isPending = false;
	#hasAccepted = false;
	/** When the queue was last known to be empty. */
	#emptyAtMs = 0;
	#waitedAtMs = Number.NEGATIVE_INFINITY;
	#maxWaitMs = 0;

	private constructor(
		private readonly schedule: (run: () => void) => void,
		private readonly readNowMs: () => number,
	) {}

	/** Whether connections may wait, as far as the latest turn shows. */
	get isPending(): boolean {
		return this.#isPending;
	}

	/** Records a connection that the listener has accepted. */
	recordAccept(): void {
		this.#hasAccepted = true;
		if (!this.#isPending) {
			this.#isPending = true;
			this.#emptyAtMs = this.readNowMs();
			this.#checkAfterTurn();
			return;
		}

		const waitMs = this.readWaitMs();
		this.#maxWaitMs = Math.max(this.#maxWaitMs, waitMs);
		if (waitMs >= minWaitMs) {
			this.#waitedAtMs = this.readNowMs();
		}
	}

	/** Returns how long a connection that is accepted now may have waited at the most, in milliseconds. */
	readWaitMs(): number {
		return this.#isPending ? this.readNowMs() - this.#emptyAtMs : 0;
	}

	/** Whether requests that are read now may have waited in the queue. */
	isLate(): boolean {
		return this.readNowMs() - this.#waitedAtMs < holdMs;
	}

	/** Returns the longest wait since the last call, in milliseconds. */
	collectMaxWaitMs(): number {
		const maxWaitMs = this.#maxWaitMs;
		this.#maxWaitMs = 0;
		return maxWaitMs;
	}

	#checkAfterTurn(): void {
		this.schedule(() => {
			if (this.#hasAccepted) {
				this.#hasAccepted = false;
				this.#checkAfterTurn();
			} else {
				this.#isPending = false;
			}
		});
	}
}
