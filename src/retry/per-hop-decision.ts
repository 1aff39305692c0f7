/**
 * Retry decision without an allowance: each hop retries independently. Serves as a baseline.
 */
import {type Outcome} from '../call/types.ts';
import {stopReasons, type RetryDecision} from './retry-decision.ts';

/** State of a call after an attempt has ended. */
export type PerHopRetryInput = {
	readonly outcome: Outcome;
	/** Whether the call must run at most once; such calls are never retried. */
	readonly isOnce: boolean;
	/** Retries that this hop has left. */
	readonly available: number;
	readonly deadlineLeftMs: number;
};

/**
 * Decides whether a hop retries a call, regardless of retries at other hops.
 *
 * @example
 * const decision = choosePerHopRetry(input);
 */
export function choosePerHopRetry(input: PerHopRetryInput): RetryDecision {
	const {outcome} = input;
	if (outcome.kind === 'answered' && outcome.status < 500) {
		return {kind: 'stop', reason: stopReasons.answered};
	}

	if (input.isOnce) {
		return {kind: 'stop', reason: stopReasons.mayHaveRun};
	}

	if (input.available < 1) {
		return {kind: 'stop', reason: stopReasons.noAllowance};
	}

	return input.deadlineLeftMs > 0
		? {kind: 'again', delayMs: 0}
		: {kind: 'stop', reason: stopReasons.deadline};
}
