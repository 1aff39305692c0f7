/** Pauses between calls to the store that fail: doubled up to a longest, and jittered so that instances spread. */

/** Bounds of a pause before its jitter of half up or down, in milliseconds. */
export type PauseBounds = {readonly firstMs: number; readonly maxMs: number};

export class RetryPause {
	/**
	 * @example
	 * const pause = RetryPause.create({firstMs: 100, maxMs: 1000}, Math.random);
	 * const ms = pause.take();
	 */
	static create(bounds: PauseBounds, random: () => number): RetryPause {
		return new RetryPause(bounds, random);
	}

	#nextMs: number;

	private constructor(
		private readonly bounds: PauseBounds,
		private readonly random: () => number,
	) {
		this.#nextMs = bounds.firstMs;
	}

	/** Computes the pause after a further failure, in milliseconds. */
	take(): number {
		const pauseMs = this.#nextMs * (0.5 + this.random());
		this.#nextMs = Math.min(this.bounds.maxMs, this.#nextMs * 2);
		return pauseMs;
	}

	/** Begins anew after a success. */
	reset(): void {
		this.#nextMs = this.bounds.firstMs;
	}
}
