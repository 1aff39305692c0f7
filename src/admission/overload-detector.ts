/**
 * Distinguishes a standing queue from one that absorbs a burst.
 *
 * As in CoDel, a queue may exceed its target length for one interval. If it stays above, it counts as
 * overloaded and is limited to the target until its length has been at most half the target for one interval.
 */

/** Length of the interval, in target delays. */
const intervalTargetDelays = 5;

/** Detects overload from the length of the queue of one size class. */
export class OverloadDetector {
	/**
	 * @example
	 * const detector = OverloadDetector.create(20);
	 */
	static create(targetDelayMs: number): OverloadDetector {
		return new OverloadDetector(targetDelayMs);
	}

	#aboveSinceMs: number | undefined;
	#belowSinceMs: number | undefined;
	#isOverloaded = false;

	#targetDelayMs: number;

	private constructor(targetDelayMs: number) {
		this.#targetDelayMs = targetDelayMs;
	}

	get isOverloaded(): boolean {
		return this.#isOverloaded;
	}

	setTargetDelay(targetDelayMs: number): void {
		this.#targetDelayMs = targetDelayMs;
	}

	/**
	 * Computes the target length of the queue, infinite while the service time is unknown.
	 *
	 * The target allows a wait of at least one service time, so that no slot stays idle between two requests.
	 *
	 * @param slots - slots that serve the queue
	 * @param serviceMs - mean service time in milliseconds; 0 when unknown
	 */
	computeMaxWaiting(slots: number, serviceMs: number): number {
		if (serviceMs <= 0) {
			return Number.POSITIVE_INFINITY;
		}

		return Math.ceil(slots * Math.max(1, this.#targetDelayMs / serviceMs));
	}

	/** Updates the overload state from the number of waiting requests. */
	update(waiting: number, maxWaiting: number, nowMs: number): void {
		const intervalMs = intervalTargetDelays * this.#targetDelayMs;
		if (waiting > maxWaiting) {
			this.#belowSinceMs = undefined;
			this.#aboveSinceMs ??= nowMs;
			this.#isOverloaded ||= nowMs - this.#aboveSinceMs >= intervalMs;
			return;
		}

		if (!this.#isOverloaded) {
			this.#aboveSinceMs = undefined;
			return;
		}

		if (waiting > maxWaiting / 2) {
			this.#belowSinceMs = undefined;
			return;
		}

		this.#belowSinceMs ??= nowMs;
		if (nowMs - this.#belowSinceMs >= intervalMs) {
			this.#isOverloaded = false;
			this.#aboveSinceMs = undefined;
		}
	}
}
