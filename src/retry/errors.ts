/**
 * Errors of the retry layer.
 */

/** A broken invariant of a retry allowance; it stops the call and is never expected. */
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
