/**
 * Decides whether a running attempt gets a second one beside it.
 */

/** What is known when an attempt has been sent. */
export type HedgeQuestion = {
	/** Whether policy asks for hedging of this call. */
	readonly isWanted: boolean;
	readonly idempotent: boolean;
	readonly available: number;
	readonly deadlineLeftMs: number;
	readonly isOverloaded: boolean;
	/** The 95th percentile of the service's latency; undefined until enough was measured. */
	readonly lateAfterMs: number | undefined;
};

export type HedgeDecision =
	| {readonly kind: 'none'}
	/** Sends a second attempt after the delay, unless the first has answered. It costs 1. */
	| {readonly kind: 'hedge'; readonly delayMs: number};

const none: HedgeDecision = {kind: 'none'};

/**
 * Chooses whether to hedge a call, and when.
 *
 * The decision is asked again right before the second attempt is sent, since the service may have
 * become overloaded by then.
 *
 * @example
 * const hedge = chooseHedge(question);
 */
export function chooseHedge(question: HedgeQuestion): HedgeDecision {
	const {lateAfterMs} = question;
	if (!question.isWanted || !question.idempotent || question.isOverloaded) {
		return none;
	}

	if (question.available < 1 || lateAfterMs === undefined) {
		return none;
	}

	return lateAfterMs < question.deadlineLeftMs ? {kind: 'hedge', delayMs: lateAfterMs} : none;
}
