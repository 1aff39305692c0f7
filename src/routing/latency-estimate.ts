/**
 * Running estimates of one server's latency, as measured by this daemon.
 *
 * Latencies are relative: multiples of the mean latency of the kind of call.
 */

/** Time constant with which an estimate without new samples decays towards the peers' latency. */
const decayTimeConstantMs = 2000;
/** Lower bound of a sample's weight; the first samples are averaged evenly. */
const minSampleWeight = 0.1;
/** Lower bound of a sample's weight in the peak estimate if it is above the estimate. */
const minRiseWeight = 0.2;

/** Peak-sensitive moving average for server selection and a plain one to compare with peers. */
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

	/** Exponentially weighted mean of the relative latency. */
	get mean(): number {
		return this.#mean;
	}

	/**
	 * Records one relative latency. The peak estimate rises faster than it falls.
	 *
	 * @example
	 * estimate.record(1.2, nowMs);
	 */
	record(latency: number, nowMs: number): void {
		this.#samples += 1;
		this.#updatedAtMs = nowMs;
		const weight = Math.max(minSampleWeight, 1 / this.#samples);
		this.#mean += weight * (latency - this.#mean);
		const peakWeight = latency > this.#peak ? Math.max(weight, minRiseWeight) : weight;
		this.#peak += peakWeight * (latency - this.#peak);
	}

	/**
	 * Reads the peak estimate. Without new samples it decays to the peers' latency, so that a server
	 * that was slow before receives calls again.
	 *
	 * @param baseline - median relative latency of the peers
	 * @example
	 * estimate.readPeak(nowMs, 1);
	 */
	readPeak(nowMs: number, baseline: number): number {
		if (this.#samples === 0) {
			return baseline;
		}

		const remaining = Math.exp((this.#updatedAtMs - nowMs) / decayTimeConstantMs);
		return baseline + (this.#peak - baseline) * remaining;
	}

	/**
	 * Discards all samples.
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
