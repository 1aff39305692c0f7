/**
 * Running estimates of one server's latency, from our own measurement.
 */

/** Time in which an old estimate loses most of its distance to the peers' latency. */
const decayMs = 3000;
const meanWeight = 0.1;
const riseWeight = 0.5;

/** A peak-sensitive estimate for choosing and a plain mean for comparing with peers. */
export class LatencyEstimate {
	/**
	 * @example
	 * const estimate = LatencyEstimate.create();
	 */
	static create(): LatencyEstimate {
		return new LatencyEstimate();
	}

	#peakMs = 0;
	#meanMs = 0;
	#samples = 0;
	#updatedAtMs = 0;

	private constructor() {
		this.reset();
	}

	get samples(): number {
		return this.#samples;
	}

	/** Exponentially weighted mean in milliseconds. */
	get meanMs(): number {
		return this.#meanMs;
	}

	/**
	 * Adds one measured latency. A rise counts faster than a fall.
	 *
	 * @example
	 * estimate.record(12.5, nowMs);
	 */
	record(latencyMs: number, nowMs: number): void {
		this.#samples += 1;
		this.#updatedAtMs = nowMs;
		const weight = Math.max(meanWeight, 1 / this.#samples);
		this.#meanMs += weight * (latencyMs - this.#meanMs);
		const peakWeight = latencyMs > this.#peakMs ? Math.max(weight, riseWeight) : weight;
		this.#peakMs += peakWeight * (latencyMs - this.#peakMs);
	}

	/**
	 * Reads the peak estimate. Without new samples it returns to the peers' latency, so that a server
	 * that was slow once is tried again.
	 *
	 * @param baselineMs - usual latency of the peers
	 * @returns milliseconds
	 * @example
	 * estimate.readPeakMs(nowMs, 8);
	 */
	readPeakMs(nowMs: number, baselineMs: number): number {
		if (this.#samples === 0) {
			return baselineMs;
		}

		const kept = Math.exp((this.#updatedAtMs - nowMs) / decayMs);
		return baselineMs + (this.#peakMs - baselineMs) * kept;
	}

	/**
	 * Forgets all samples.
	 *
	 * @example
	 * estimate.reset();
	 */
	reset(): void {
		this.#peakMs = 0;
		this.#meanMs = 0;
		this.#samples = 0;
		this.#updatedAtMs = 0;
	}
}
