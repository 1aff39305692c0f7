/**
 * Plans a planned stop (connection draining with a deadline): what is accepted after the signal is what can be answered
 * before the process has to be gone.
 */

/** Time after the signal in which all requests are accepted: they may last until the end of the stop. */
const acceptAllMs = 2700;
/** The same as a share of a short grace period. */
const acceptAllShare = 0.45;
/** Share of the grace period after which every request is refused. */
const closeShare = 0.8;
/** Share after which requests that are not running are withdrawn, so that their callers learn that they have not run. */
const withdrawShare = 0.9;
/** Share after which the requests that are left get a final answer. */
const endShare = 0.93;
/** Time for an answer to pass from the server to the caller. */
const marginMs = 150;

export type DrainPhase =
	/** All requests are accepted. */
	| 'open'
	/** Requests are accepted that are sure to be answered in time. */
	| 'bounded'
	/** Requests are refused. */
	| 'closed'
	/** Requests that have not run are given back to their callers. */
	| 'withdrawing'
	/** Nothing is waited for any more. */
	| 'over';

export class DrainPlan {
	/**
	 * @param graceMs - time between the stop signal and the kill signal
	 * @example
	 * const plan = DrainPlan.create(6000);
	 * plan.canAccept(3500, 700); // true: it is answered by 4200 ms
	 */
	static create(graceMs: number): DrainPlan {
		return new DrainPlan(graceMs);
	}

	private constructor(private readonly graceMs: number) {}

	/** Time after the signal when requests are withdrawn, in milliseconds. */
	get withdrawAtMs(): number {
		return this.graceMs * withdrawShare;
	}

	/** @param elapsedMs - time since the signal */
	decidePhase(elapsedMs: number): DrainPhase {
		if (elapsedMs < Math.min(acceptAllMs, this.graceMs * acceptAllShare)) {
			return 'open';
		}

		if (elapsedMs < this.graceMs * closeShare) {
			return 'bounded';
		}

		if (elapsedMs < this.withdrawAtMs) {
			return 'closed';
		}

		return elapsedMs < this.graceMs * endShare ? 'withdrawing' : 'over';
	}

	/**
	 * Whether a request is sure to be answered before requests are withdrawn.
	 *
	 * @param boundMs - time within which it is answered in any case: its deadline or its route's time-out
	 */
	canFinish(elapsedMs: number, boundMs: number): boolean {
		const isOpen = elapsedMs < this.graceMs * closeShare;
		return isOpen && elapsedMs + boundMs + marginMs <= this.withdrawAtMs;
	}

	/**
	 * Whether a request that arrives now is to be accepted.
	 *
	 * @param boundMs - as for `canFinish`
	 */
	canAccept(elapsedMs: number, boundMs: number): boolean {
		switch (this.decidePhase(elapsedMs)) {
			case 'open': {
				return true;
			}

			case 'bounded': {
				return this.canFinish(elapsedMs, boundMs);
			}

			case 'closed':
			case 'withdrawing':
			case 'over': {
				return false;
			}
		}
	}
}
