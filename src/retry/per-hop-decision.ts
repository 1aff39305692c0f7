/**
 * Retries of a system without an allowance: each hop tries again by itself. Serves as a baseline.
 */
import {type Outcome} from '../call/types.ts';
import {stopReasons, type RetryDecision} from './retry-decision.ts';

export type PerHopQuestion = {
	readonly outcome: Outcome;
	/** Calls that must run at most once are never sent again. */
	readonly once: boolean;
	/** Retries that this hop has left. */
	readonly available: number;
	readonly deadlineLeftMs: number;
};

/**
 * Chooses whether a hop tries again, whatever the calls above and below it do.
 *
 * @example
 * const decision = choosePerHopRetry(question);
 */
export function choosePerHopRetry(question: PerHopQuestion): RetryDecision {
	const {outcome} = question;
	if (outcome.kind === 'answered' && outcome.status < 500) {
		return {kind: 'stop', reason: stopReasons.answered};
	}

	if (question.once) {
		return {kind: 'stop', reason: stopReasons.mayHaveRun};
	}

	if (question.available < 1) {
		return {kind: 'stop', reason: stopReasons.noAllowance};
	}

	return question.deadlineLeftMs > 0
		? {kind: 'again', delayMs: 0}
		: {kind: 'stop', reason: stopReasons.deadline};
}
