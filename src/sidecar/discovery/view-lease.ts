/**
 * How current the known state of a table is (bounded staleness). An answer of the store confirms the state for a limited
 * time only, like a lease: a connection or a watcher that is silent can't be told from a table that doesn't change.
 */

/** Times in milliseconds after which a view of the configuration is confirmed again, and no longer counts. */
export type ViewTiming = {
	/** Longest wait for a change in one call of the first watcher; its answer confirms that nothing has changed. */
	readonly waitMs: number;
	/** Age at which a view has to be confirmed by the store itself. */
	readonly limitMs: number;
};

/** Share of the bound that one wait may take. */
const waitShare = 0.36;
/** Leaves the rest of the bound for noticing the expiry and for a call to the store. */
const limitShare = 0.64;

/**
 * Computes the timing that keeps the configuration within its bound, whatever falls silent.
 *
 * @param boundMs - time within which an acknowledged configuration has to be in force
 * @example
 * computeViewTiming(2500); // {waitMs: 900, limitMs: 1600}
 */
export function computeViewTiming(boundMs: number): ViewTiming {
	return {waitMs: Math.round(boundMs * waitShare), limitMs: Math.round(boundMs * limitShare)};
}

export class ViewLease {
	/**
	 * @param limitMs - age at which the view no longer counts
	 * @example
	 * const lease = ViewLease.create(1600);
	 * lease.record(performance.now());
	 */
	static create(limitMs: number): ViewLease {
		return new ViewLease(limitMs);
	}

	#confirmedAtMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly limitMs: number) {}

	/** Records that the store had no other state than the known one at a time. */
	record(atMs: number): void {
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
	}

	/** Age of the last confirmation in milliseconds; infinite before the first. */
	readAgeMs(nowMs: number): number {
		return Math.max(0, nowMs - this.#confirmedAtMs);
	}

	isExpired(nowMs: number): boolean {
		return this.readAgeMs(nowMs) > this.limitMs;
	}
}
