/**
 * Streaming quantile of a latency, on a small logarithmic histogram that forgets.
 */

const bucketsPerOctave = 4;
const bucketCount = 72;
const smallestMs = 0.125;
/** Total weight at which all buckets are halved. */
const maxWeight = 1024;
/** Samples below which no quantile is told. */
const minSamples = 20;
/** Samples between two computations of the quantile. */
const refreshEvery = 16;

/** One quantile with a relative error of at most half a bucket, about 9%. */
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

	/** The quantile in milliseconds; undefined until enough was measured. */
	get valueMs(): number | undefined {
		return this.#valueMs;
	}

	/**
	 * Adds one latency.
	 *
	 * @example
	 * p95.record(12.5);
	 */
	record(latencyMs: number): void {
		const octaves = Math.log2(Math.max(latencyMs, smallestMs) / smallestMs);
		const index = Math.min(bucketCount - 1, Math.floor(octaves * bucketsPerOctave));
		this.#buckets[index]! += 1;
		this.#weight += 1;
		this.#samples += 1;
		if (this.#weight >= maxWeight) {
			this.#halve();
		}

		const isDue = this.#samples % refreshEvery === 0 || this.#samples === minSamples;
		if (isDue && this.#samples >= minSamples) {
			this.#valueMs = this.#compute();
		}
	}

	#halve(): void {
		for (let index = 0; index < bucketCount; index += 1) {
			this.#buckets[index]! /= 2;
		}

		this.#weight /= 2;
	}

	#compute(): number {
		const wanted = this.#weight * this.#quantile;
		let seen = 0;
		let index = 0;
		for (const weight of this.#buckets) {
			seen += weight;
			if (seen >= wanted) {
				break;
			}

			index += 1;
		}

		return smallestMs * 2 ** ((index + 0.5) / bucketsPerOctave);
	}
}
