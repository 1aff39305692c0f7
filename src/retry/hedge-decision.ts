/**
 * Decides whether to hedge a call: to send a second attempt while the first is running.
 */

/** State of a call after an attempt was sent. */
export type HedgeInput = {
	/** Whether the policy enables hedging of this call. */
	readonly isHedgingEnabled: boolean;
	readonly idempotent: boolean;
	/** Retries that the call has left to spend. */
	readonly available: number;
	readonly deadlineLeftMs: number;
	readonly isOverloaded: boolean;
	/** 95th percentile of the service's latency; undefined until there are enough samples. */
	readonly latencyP95Ms: number | undefined;
};

export type HedgeDecision =
	| {readonly kind: 'none'}
	/** Send a second attempt after the delay, unless the first has been answered. It costs 1 retry. */
	| {readonly kind: 'hedge'; readonly delayMs: number};

const noHedge: HedgeDecision = {kind: 'none'};

/**
 * Decides whether to hedge a call, and after which delay.
 *
 * Call it again immediately before the second attempt is sent, since the service may have become
 * overloaded in the meantime.
 *
 * @example
 * const hedge = chooseHedge(input);
 */
export function chooseHedge(input: HedgeInput): HedgeDecision {
	const {latencyP95Ms} = input;
	if (!input.isHedgingEnabled || !input.idempotent || input.isOverloaded) {
		return noHedge;
	}

	if (input.available < 1 || latencyP95Ms === undefined) {
		return noHedge;
	}

	return latencyP95Ms < input.deadlineLeftMs ? {kind: 'hedge', delayMs: latencyP95Ms} : noHedge;
}
