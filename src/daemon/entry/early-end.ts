/**
 * Calls that end before their answer: at their deadline, or because they were cancelled.
 */
import {type UnansweredOutcome} from '../../call/execution-tracker.ts';
import {type Outcome} from '../../call/types.ts';

/** Why a call ended early; `no` if it has not. */
export type EarlyEnd = 'no' | 'deadline' | 'cancelled';

/**
 * Computes the outcome of a call whose answer is not relayed. A call that ended early is reported as not run
 * only if that is certain.
 *
 * @example
 * computeUnansweredOutcome({kind: 'unknown', reason: 'connection-lost'}, 'deadline').reason; // 'deadline'
 */
export function computeUnansweredOutcome(outcome: Outcome, ended: EarlyEnd): UnansweredOutcome {
	if (outcome.kind === 'answered') {
		return {kind: 'failed', reason: `status ${outcome.status}`};
	}

	if (ended !== 'no' && outcome.kind === 'unknown') {
		return {kind: 'unknown', reason: ended};
	}

	if (ended !== 'no' && outcome.kind === 'notRun' && outcome.reason === 'cancelled') {
		return {kind: 'notRun', reason: ended};
	}

	return outcome;
}
