/**
 * Slow start: the share of its normal load that a server receives while it warms up.
 */

const rampDurationMs = 5000;
const minLoadShare = 0.1;

/** Linear ramp of the load share to 1 over a fixed duration. */
export class SlowStart {
	/**
	 * @param startedAtMs - start of the ramp; undefined for a server that needs no warm-up
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
	 * Starts or restarts the ramp.
	 *
	 * @example
	 * slowStart.start(nowMs);
	 */
	start(nowMs: number): void {
		this.#startedAtMs = nowMs;
	}

	/**
	 * Computes the share of its normal load that the server may receive, from 0.1 to 1.
	 *
	 * @example
	 * if (random() < slowStart.computeShare(nowMs)) { send(server); }
	 */
	computeShare(nowMs: number): number {
		if (this.#startedAtMs === undefined) {
			return 1;
		}

		const share = (nowMs - this.#startedAtMs) / rampDurationMs;
		if (share >= 1) {
			this.#startedAtMs = undefined;
			return 1;
		}

		return Math.max(minLoadShare, share);
	}
}
