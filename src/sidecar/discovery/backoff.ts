/** Exponential backoff for failed calls to the store, with jitter that spreads the retries of instances. */

/** Bounds of a delay in milliseconds, before a jitter of ±50 %. */
export type BackoffBounds = {readonly firstMs: number; readonly maxMs: number};

export class Backoff {
	/**
	 * @example
	 * const backoff = Backoff.create({firstMs: 100, maxMs: 1000}, Math.random);
	 * const delayMs = backoff.computeNextDelayMs();
	 */
	static create(bounds: BackoffBounds, random: () => number): Backoff {
		return new Backoff(bounds, random);
	}

	#nextMs: number;

	private constructor(
		private readonly bounds: BackoffBounds,
		private readonly random: () => number,
	) {
		this.#nextMs = bounds.firstMs;
	}

	/** Returns the delay before the next attempt, in milliseconds, and doubles it for the one after. */
	computeNextDelayMs(): number {
		const delayMs = this.#nextMs * (0.5 + this.random());
		this.#nextMs = Math.min(this.bounds.maxMs, this.#nextMs * 2);
		return delayMs;
	}

	/** Resets the delay after a success. */
	reset(): void {
		this.#nextMs = this.bounds.firstMs;
	}
}
