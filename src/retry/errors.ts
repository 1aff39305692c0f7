/**
 * Errors of the retry allowance.
 */

/** A violated invariant of a retry allowance; indicates a bug and ends the call. */
export class AllowanceInvariantError extends Error {
	/**
	 * @example
	 * throw AllowanceInvariantError.create('loan "l-1" does not exist');
	 */
	static create(reason: string): AllowanceInvariantError {
		return new AllowanceInvariantError(`retry allowance is inconsistent: ${reason}`);
	}

	override readonly name = 'AllowanceInvariantError';

	private constructor(message: string) {
		super(message);
	}
}
