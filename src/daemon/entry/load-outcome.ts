/**
 * Classifies the outcomes of attempts and calls by whether they indicate overload.
 */
import {type LoadOutcome} from '../../admission/early-shedder.ts';
import {type Outcome} from '../../call/types.ts';
import {type AttemptHead} from './attempt.ts';

/** Where an attempt met an overload: `here` is its guard, `below` the guard of a child call. */
export type OverloadLocation = 'none' | 'here' | 'below';

/**
 * Finds where an attempt met an overload.
 *
 * @example
 * const location = findOverload(head);
 */
export function findOverload(head: AttemptHead): OverloadLocation {
	const below = head.isShedBelow ? 'below' : 'none';
	switch (head.outcome.kind) {
		case 'answered': {
			return head.outcome.status >= 500 ? below : 'none';
		}

		case 'notRun': {
			const {reason} = head.outcome;
			return reason === 'overload' || reason === 'deadline' ? 'here' : 'none';
		}

		case 'unknown':
		case 'failed': {
			return below;
		}
	}
}

/**
 * Classifies the outcome of a call for early shedding.
 *
 * @param metOverload - whether its last attempt met an overload
 * @param isLate - whether its deadline passed
 * @example
 * const load = classifyLoad(outcome, false, false);
 */
export function classifyLoad(outcome: Outcome, metOverload: boolean, isLate: boolean): LoadOutcome {
	if (outcome.kind === 'answered' && outcome.status < 500) {
		return 'answered';
	}

	return metOverload || isLate ? 'overloaded' : 'other';
}
