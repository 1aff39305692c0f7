/**
 * Streaming estimate of a latency quantile from a logarithmic histogram with decaying weights.
 */

const bucketsPerOctave = 4;
const bucketCount = 72;
const minLatencyMs = 0.125;
/** Total weight at which all buckets are halved, so that old samples lose influence. */
const maxWeight = 1024;
/** Number of samples required before a quantile is reported. */
const minSamples = 20;
/** Number of samples between two computations of the quantile. */
const refreshIntervalSamples = 16;

/** Estimate of one quantile with a relative error of at most half a bucket, about 9%. */
export class LatencyQuantile {
	/**
	 * @param quantile - between 0 and 1
	 * @example
	 * const p95 = LatencyQuantile.create(0.95);
	 */
	static create(quantile: number): LatencyQuantile {
		return new LatencyQuantile(quantile);
	}

	readonly #buckets = new Float32Array(bucketCount);
	readonly #quantile: number;
	#weight = 0;
	#samples = 0;
	#valueMs: number | undefined;

	private constructor(quantile: number) {
		this.#quantile = quantile;
	}

	/** The quantile in milliseconds; undefined until enough samples exist. */
	get valueMs(): number | undefined {
		return this.#valueMs;
	}

	/**
	 * Records one latency.
	 *
	 * @example
	 * p95.record(12.5);
	 */
	record(latencyMs: number): void {
		const octaves = Math.log2(Math.max(latencyMs, minLatencyMs) / minLatencyMs);
		const index = Math.min(bucketCount - 1, Math.floor(octaves * bucketsPerOctave));
		this.#buckets[index]! += 1;
		this.#weight += 1;
		this.#samples += 1;
		if (this.#weight >= maxWeight) {
			this.#halveWeights();
		}

		const isDue = this.#samples % refreshIntervalSamples === 0 || this.#samples === minSamples;
		if (isDue && this.#samples >= minSamples) {
			this.#valueMs = this.#computeQuantile();
		}
	}

	#halveWeights(): void {
		for (let index = 0; index < bucketCount; index += 1) {
			this.#buckets[index]! /= 2;
		}

		this.#weight /= 2;
	}

	#computeQuantile(): number {
		const targetWeight = this.#weight * this.#quantile;
		let cumulativeWeight = 0;
		let index = 0;
		for (const weight of this.#buckets) {
			cumulativeWeight += weight;
			if (cumulativeWeight >= targetWeight) {
				break;
			}

			index += 1;
		}

		return minLatencyMs * 2 ** ((index + 0.5) / bucketsPerOctave);
	}
}
