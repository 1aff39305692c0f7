/**
 * Usual latency of one kind of call, over all servers of its service.
 *
 * Latencies are compared between servers as multiples of it, so that a server that happens to run
 * long calls doesn't look slow.
 */
import {LatencyQuantile} from './latency-quantile.ts';

const hedgeQuantile = 0.95;
const meanWeight = 0.02;
const smallestMeanMs = 0.05;

/** Running mean and 95th percentile of one kind of call. */
export class CallKind {
	/**
	 * @example
	 * const kind = CallKind.create();
	 */
	static create(): CallKind {
		return new CallKind();
	}

	readonly #lateness = LatencyQuantile.create(hedgeQuantile);
	#meanMs = 0;
	#samples = 0;

	private constructor() {
		// Built by `create` alone.
	}

	/** Exponentially weighted mean in milliseconds; 0 until measured. */
	get meanMs(): number {
		return this.#meanMs;
	}

	/** Milliseconds within which 95 of 100 answers came; undefined until enough was measured. */
	get hedgeDelayMs(): number | undefined {
		return this.#lateness.valueMs;
	}

	/**
	 * Adds the latency of one answer.
	 *
	 * @example
	 * kind.record(12.5);
	 */
	record(latencyMs: number): void {
		this.#samples += 1;
		this.#meanMs += Math.max(meanWeight, 1 / this.#samples) * (latencyMs - this.#meanMs);
		this.#lateness.record(latencyMs);
	}

	/**
	 * Computes a latency as a multiple of the usual one.
	 *
	 * @returns 1 until measured
	 * @example
	 * const relative = kind.computeRelative(25);
	 */
	computeRelative(latencyMs: number): number {
		return this.#samples === 0 ? 1 : latencyMs / Math.max(smallestMeanMs, this.#meanMs);
	}
}
