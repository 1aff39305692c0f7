/**
 * How often the own server turns requests away that it has room for, and what part of the demand the
 * allowed repeats can carry through.
 *
 * Pattern: a server fails part of its requests while its health check is good. A tree of several calls
 * hardly ever gets through then, unless its calls are repeated; and repeats are bounded. So fewer trees
 * are started, and those get the repeats.
 */

/** The rate halves in about this time without news. */
const memoryMs = 1000;
/** Below this rate the usual repeats suffice. */
const minRate = 0.08;

export class RefusalRate {
	/**
	 * @param repeatRatio - repeats allowed for each request
	 * @example
	 * const rate = RefusalRate.create(0.14);
	 * rate.record(true, nowMs);
	 * const share = rate.computeShare(nowMs);
	 */
	static create(repeatRatio: number): RefusalRate {
		return new RefusalRate(repeatRatio);
	}

	#refused = 0;
	#all = 0;
	#atMs = 0;

	private constructor(private readonly repeatRatio: number) {}

	/** Records an answer of the server; `isRefused` when it did not run the request. */
	record(isRefused: boolean, nowMs: number): void {
		this.#decay(nowMs);
		this.#refused += isRefused ? 1 : 0;
		this.#all++;
	}

	/** Share of the demand for which the repeats suffice, from just above 0 to 1. */
	computeShare(nowMs: number): number {
		this.#decay(nowMs);
		const minAnswers = 5;
		const rate = this.#all < minAnswers ? 0 : this.#refused / this.#all;
		if (rate < minRate) {
			return 1;
		}

		const repeatsNeeded = rate / Math.max(0.01, 1 - rate);
		return Math.min(1, this.repeatRatio / repeatsNeeded);
	}

	#decay(nowMs: number): void {
		const kept = 0.5 ** ((nowMs - this.#atMs) / memoryMs);
		this.#refused *= kept;
		this.#all *= kept;
		this.#atMs = nowMs;
	}
}
