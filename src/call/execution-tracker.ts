/**
 * Tracks over all attempts of a call whether it is certain that no backend server has run it.
 */
import {type Outcome} from './types.ts';

/** Outcome of a call that ends without a complete answer. */
export type UnansweredOutcome = Exclude<Outcome, {kind: 'answered'}>;

/** Tracks whether any attempt of a call may have reached a backend server. */
export class ExecutionTracker {
	/**
	 * @param mayHaveRun - whether the call may have run before its first attempt
	 * @example
	 * const tracker = ExecutionTracker.create();
	 */
	static create(mayHaveRun = false): ExecutionTracker {
		return new ExecutionTracker(mayHaveRun);
	}

	#mayHaveRun: boolean;

	private constructor(mayHaveRun: boolean) {
		this.#mayHaveRun = mayHaveRun;
	}

	/** Whether the call may have run, by the outcomes recorded so far; only `notRun` rules it out. */
	get mayHaveRun(): boolean {
		return this.#mayHaveRun;
	}

	/**
	 * Records the outcome of one attempt.
	 *
	 * @example
	 * tracker.record({kind: 'unknown', reason: 'lost'});
	 */
	record(outcome: Outcome): void {
		this.#mayHaveRun ||= outcome.kind !== 'notRun';
	}

	/**
	 * Records the outcome at the only guard that can run the call; it replaces those of all attempts.
	 *
	 * @example
	 * tracker.recordSoleGuardOutcome({kind: 'notRun', reason: 'overload'});
	 */
	recordSoleGuardOutcome(outcome: Outcome): void {
		this.#mayHaveRun = outcome.kind !== 'notRun';
	}

	/**
	 * Resolves the outcome of the whole call. `notRun` becomes `unknown` if an earlier attempt may have
	 * run, since a refusal of the last attempt does not rule that out.
	 *
	 * @example
	 * tracker.resolveOutcome({kind: 'notRun', reason: 'overload'});
	 */
	resolveOutcome(outcome: UnansweredOutcome): UnansweredOutcome {
		if (outcome.kind !== 'notRun' || !this.#mayHaveRun) {
			return outcome;
		}

		return {kind: 'unknown', reason: `earlier attempt, then ${outcome.reason}`};
	}
}
