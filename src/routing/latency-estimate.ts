/**
 * Running estimates of one server's latency, from our own measurement.
 *
 * Latencies are multiples of what the kind of call usually takes.
 */

/** Time in which an old estimate loses most of its distance to the peers' latency. */
const decayMs = 2000;
const meanWeight = 0.1;
const riseWeight = 0.2;

/** A peak-sensitive estimate for choosing and a plain mean for comparing with peers. */
export class LatencyEstimate {
	/**
	 * @example
	 * const estimate = LatencyEstimate.create();
	 */
	static create(): LatencyEstimate {
		return new LatencyEstimate();
	}

	#peak = 0;
	#mean = 0;
	#samples = 0;
	#updatedAtMs = 0;

	private constructor() {
		this.reset();
	}

	get samples(): number {
		return this.#samples;
	}

	/** Exponentially weighted mean. */
	get mean(): number {
		return this.#mean;
	}

	/**
	 * Adds one measured latency. A rise counts faster than a fall.
	 *
	 * @example
	 * estimate.record(1.2, nowMs);
	 */
	record(latency: number, nowMs: number): void {
		this.#samples += 1;
		this.#updatedAtMs = nowMs;
		const weight = Math.max(meanWeight, 1 / this.#samples);
		this.#mean += weight * (latency - this.#mean);
		const peakWeight = latency > this.#peak ? Math.max(weight, riseWeight) : weight;
		this.#peak += peakWeight * (latency - this.#peak);
	}

	/**
	 * Reads the peak estimate. Without new samples it returns to the peers' latency, so that a server
	 * that was slow once is tried again.
	 *
	 * @param baseline - usual latency of the peers
	 * @example
	 * estimate.readPeak(nowMs, 1);
	 */
	readPeak(nowMs: number, baseline: number): number {
		if (this.#samples === 0) {
			return baseline;
		}

		const kept = Math.exp((this.#updatedAtMs - nowMs) / decayMs);
		return baseline + (this.#peak - baseline) * kept;
	}

	/**
	 * Forgets all samples.
	 *
	 * @example
	 * estimate.reset();
	 */
	reset(): void {
		this.#peak = 0;
		this.#mean = 0;
		this.#samples = 0;
		this.#updatedAtMs = 0;
	}
}
