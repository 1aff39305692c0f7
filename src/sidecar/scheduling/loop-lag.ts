/**
 * Measures how late the event loop reads its input. A busy process reads messages after those that revoke them
 * have arrived, so work that starts from input this old may no longer be wanted.
 */

const tickIntervalMs = 50;
/** A shorter delay than this is no reason to expect that messages were revoked meanwhile. */
const minLagMs = 30;
/** A connection that was accepted after a long turn is first read some turns later. */
const holdMs = 250;

export class LoopLag {
	/**
	 * @example
	 * const lag = LoopLag.create();
	 * lag.start();
	 * const isLate = lag.isLagging(performance.now());
	 */
	static create(nowMs = performance.now()): LoopLag {
		return new LoopLag(nowMs);
	}

	#lastTickAtMs: number;
	#laggedAtMs = Number.NEGATIVE_INFINITY;
	#maxLagMs = 0;
	#timer: NodeJS.Timeout | undefined;

	private constructor(nowMs: number) {
		this.#lastTickAtMs = nowMs;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.recordTick(performance.now());
		}, tickIntervalMs);
		this.#timer.unref();
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Records that the timer ran, as it should every 50 ms. */
	recordTick(nowMs: number): void {
		const lagMs = this.readLagMs(nowMs);
		if (lagMs >= minLagMs) {
			this.#laggedAtMs = nowMs;
		}

		this.#maxLagMs = Math.max(this.#maxLagMs, lagMs);
		this.#lastTickAtMs = nowMs;
	}

	/** Returns by how much the timer is late, in milliseconds. */
	readLagMs(nowMs: number): number {
		return Math.max(0, nowMs - this.#lastTickAtMs - tickIntervalMs);
	}

	/** Whether input that is read now may have waited for 30 ms or longer. */
	isLagging(nowMs: number): boolean {
		return nowMs - this.#laggedAtMs < holdMs || this.readLagMs(nowMs) >= minLagMs;
	}

	/** Returns the longest lag since the last call, in milliseconds. */
	collectMaxLagMs(nowMs: number): number {
		const maxLagMs = Math.max(this.#maxLagMs, this.readLagMs(nowMs));
		this.#maxLagMs = 0;
		return maxLagMs;
	}
}
