/**
 * Calls that end before their answer: at their deadline, or since nobody waits any more.
 */
import {type Refusal} from '../../call/run-proof.ts';
import {type Outcome} from '../../call/types.ts';

/** Why a call ended early. */
export type EarlyEnd = 'no' | 'deadline' | 'cancelled';

/**
 * Settles what a call without an answer is told as; one that ended early is told as not run only on
 * proof.
 *
 * @example
 * settleOutcome({kind: 'unknown', reason: 'connection-lost'}, 'deadline').reason; // 'deadline'
 */
export function settleOutcome(outcome: Outcome, ended: EarlyEnd): Refusal {
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
