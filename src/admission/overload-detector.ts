/**
 * Decides when a queue stands rather than absorbs a burst.
 *
 * As in CoDel, a queue may pass its target for an interval; when it stays above, it is cut to the target
 * and kept there until it has been short for an interval.
 */

/** Intervals are this many times the target delay. */
const intervalFactor = 5;

/** Watches one line of waiting requests. */
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
	 * Computes how many requests may wait.
	 *
	 * At least one service time may pass in the queue, so that no slot stays free between two requests.
	 *
	 * @param slots - slots that serve the line
	 * @param serviceMs - typical service time of the line; 0 when not known
	 */
	computeMaxWaiting(slots: number, serviceMs: number): number {
		if (serviceMs <= 0) {
			return Number.POSITIVE_INFINITY;
		}

		return Math.ceil(slots * Math.max(1, this.#targetDelayMs / serviceMs));
	}

	/** Notes the length of the queue and updates the state. */
	update(waiting: number, allowed: number, nowMs: number): void {
		const intervalMs = intervalFactor * this.#targetDelayMs;
		if (waiting > allowed) {
			this.#belowSinceMs = undefined;
			this.#aboveSinceMs ??= nowMs;
			this.#isOverloaded ||= nowMs - this.#aboveSinceMs >= intervalMs;
			return;
		}

		if (!this.#isOverloaded) {
			this.#aboveSinceMs = undefined;
			return;
		}

		if (waiting > allowed / 2) {
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
