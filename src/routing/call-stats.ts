/**
 * Latency and size statistics of one kind of call, aggregated over all servers of its service.
 *
 * Latencies of different servers are compared as multiples of the mean of their kind of call, so
 * that a server that happens to receive the long calls is not considered slow.
 */
import {LatencyQuantile} from './latency-quantile.ts';

const hedgeQuantile = 0.95;
/** Lower bound of a sample's weight in the means; the first samples are averaged evenly. */
const minSampleWeight = 0.02;
/** Floor of the divisor, so that a mean close to zero does not inflate relative latencies. */
const minMeanMs = 0.05;

/** Running means of latency and size and the 95th percentile of latency of one kind of call. */
export class CallStats {
	/**
	 * @example
	 * const stats = CallStats.create();
	 */
	static create(): CallStats {
		return new CallStats();
	}

	readonly #hedgeLatency = LatencyQuantile.create(hedgeQuantile);
	#meanMs = 0;
	#meanBytes = 0;
	#samples = 0;

	private constructor() {
		// Use create.
	}

	/** Exponentially weighted mean latency in milliseconds; 0 until the first answer. */
	get meanMs(): number {
		return this.#meanMs;
	}

	/** Exponentially weighted mean of the bytes of request and answer; 0 until the first answer. */
	get meanBytes(): number {
		return this.#meanBytes;
	}

	/** 95th percentile of the latency in milliseconds; undefined until enough samples exist. */
	get hedgeDelayMs(): number | undefined {
		return this.#hedgeLatency.valueMs;
	}

	/**
	 * Records the latency and size of one answered call.
	 *
	 * @example
	 * stats.record(12.5, 2048);
	 */
	record(latencyMs: number, bytes: number): void {
		this.#samples += 1;
		const weight = Math.max(minSampleWeight, 1 / this.#samples);
		this.#meanMs += weight * (latencyMs - this.#meanMs);
		this.#meanBytes += weight * (bytes - this.#meanBytes);
		this.#hedgeLatency.record(latencyMs);
	}

	/**
	 * Computes a latency as a multiple of the mean of this kind of call.
	 *
	 * @returns 1 until the first answer is recorded
	 * @example
	 * const relative = stats.computeRelativeLatency(25);
	 */
	computeRelativeLatency(latencyMs: number): number {
		return this.#samples === 0 ? 1 : latencyMs / Math.max(minMeanMs, this.#meanMs);
	}
}
