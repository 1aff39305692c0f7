/**
 * Measures how often the local server refuses requests although it has free slots, and computes the share of
 * the demand that the retry budget can carry.
 *
 * A server may refuse a part of its requests while its health check passes. A request that makes several
 * calls then hardly ever succeeds unless its calls are retried, and retries are limited. So the entry admits
 * fewer call trees and the retries go to those.
 */

/** Past answers lose half of their weight in this time. */
const halfLifeMs = 1000;
/** Below this rate the ordinary retry budget suffices. */
const minRate = 0.08;

export class RefusalRate {
	/**
	 * @param retryRatio - retries allowed per request
	 * @example
	 * const rate = RefusalRate.create(0.14);
	 * rate.record(true, nowMs);
	 * const share = rate.computeRepeatableShare(nowMs);
	 */
	static create(retryRatio: number): RefusalRate {
		return new RefusalRate(retryRatio);
	}

	#refusedCount = 0;
	#answerCount = 0;
	#decayedAtMs = 0;

	private constructor(private readonly retryRatio: number) {}

	/** Records an answer of the server; `isRefused` when the server did not run the request. */
	record(isRefused: boolean, nowMs: number): void {
		this.#decay(nowMs);
		this.#refusedCount += isRefused ? 1 : 0;
		this.#answerCount++;
	}

	/** Computes the share of the demand for which the retries suffice, in the range (0, 1]. */
	computeRepeatableShare(nowMs: number): number {
		this.#decay(nowMs);
		const minAnswers = 5;
		const rate = this.#answerCount < minAnswers ? 0 : this.#refusedCount / this.#answerCount;
		if (rate < minRate) {
			return 1;
		}

		const retriesNeeded = rate / Math.max(0.01, 1 - rate);
		return Math.min(1, this.retryRatio / retriesNeeded);
	}

	#decay(nowMs: number): void {
		const factor = 0.5 ** ((nowMs - this.#decayedAtMs) / halfLifeMs);
		this.#refusedCount *= factor;
		this.#answerCount *= factor;
		this.#decayedAtMs = nowMs;
	}
}
