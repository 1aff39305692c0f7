/**
 * Share of its normal load that a server gets while it warms up.
 */

const rampMs = 5000;
const minShare = 0.1;

/** Grows from a small share to 1 within a fixed time after the start. */
export class SlowStart {
	/**
	 * @param startedAtMs - undefined for a server that needs no warm-up
	 * @example
	 * const slowStart = SlowStart.create(nowMs);
	 */
	static create(startedAtMs?: number): SlowStart {
		return new SlowStart(startedAtMs);
	}

	#startedAtMs: number | undefined;

	private constructor(startedAtMs: number | undefined) {
		this.#startedAtMs = startedAtMs;
	}

	/**
	 * Begins the ramp, or begins it again.
	 *
	 * @example
	 * slowStart.start(nowMs);
	 */
	start(nowMs: number): void {
		this.#startedAtMs = nowMs;
	}

	/**
	 * Computes the share of its normal load that the server may get, from 0.1 to 1.
	 *
	 * @example
	 * if (random() < slowStart.computeShare(nowMs)) { take(server); }
	 */
	computeShare(nowMs: number): number {
		if (this.#startedAtMs === undefined) {
			return 1;
		}

		const share = (nowMs - this.#startedAtMs) / rampMs;
		if (share >= 1) {
			this.#startedAtMs = undefined;
			return 1;
		}

		return Math.max(minShare, share);
	}
}
