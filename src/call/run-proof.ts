/**
 * Keeps the proof that nothing of a call has run, over all of its attempts.
 */
import {type Outcome} from './types.ts';

/** Outcome of a call that has no whole answer to give. */
export type Refusal = Exclude<Outcome, {kind: 'answered'}>;

/** Remembers whether any attempt may have reached a backend server. */
export class RunProof {
	/**
	 * @param mayHaveRun - whether the call may have run before its first attempt
	 * @example
	 * const proof = RunProof.create();
	 */
	static create(mayHaveRun = false): RunProof {
		return new RunProof(mayHaveRun);
	}

	#mayHaveRun: boolean;

	private constructor(mayHaveRun: boolean) {
		this.#mayHaveRun = mayHaveRun;
	}

	/** True once any attempt ended other than proved as not run. */
	get mayHaveRun(): boolean {
		return this.#mayHaveRun;
	}

	/**
	 * Takes in the end of one attempt.
	 *
	 * @example
	 * proof.record({kind: 'unknown', reason: 'lost'});
	 */
	record(outcome: Outcome): void {
		this.#mayHaveRun ||= outcome.kind !== 'notRun';
	}

	/**
	 * Takes in the word of the only guard that can run the call; it speaks for all attempts.
	 *
	 * @example
	 * proof.recordOnlyGuard({kind: 'notRun', reason: 'overload'});
	 */
	recordOnlyGuard(outcome: Outcome): void {
		this.#mayHaveRun = outcome.kind !== 'notRun';
	}

	/**
	 * Settles the outcome of the whole call. A refusal of the last attempt doesn't prove that the
	 * call was not run when an earlier one may have been.
	 *
	 * @example
	 * proof.settle({kind: 'notRun', reason: 'overload'});
	 */
	settle(outcome: Refusal): Refusal {
		if (outcome.kind !== 'notRun' || !this.#mayHaveRun) {
			return outcome;
		}

		return {kind: 'unknown', reason: `earlier attempt, then ${outcome.reason}`};
	}
}
