/**
 * Errors of the admission layer.
 */

/** Violated invariant of the admission layer; always a bug in the program. */
export class AdmissionInvariantError extends Error {
	/**
	 * @example
	 * throw AdmissionInvariantError.create('slot of attempt "a1" released twice');
	 */
	static create(violation: string): AdmissionInvariantError {
		return new AdmissionInvariantError(`admission invariant violated: ${violation}`);
	}

	override readonly name = 'AdmissionInvariantError';
}

/**
 * Throws unless an invariant holds.
 *
 * @param describe - returns a description of the violation; called only on failure
 * @example
 * assertInvariant(inUse <= limit, () => `${inUse} slots in use of ${limit}`);
 */
export function assertInvariant(holds: boolean, describe: () => string): asserts holds {
	if (!holds) {
		throw AdmissionInvariantError.create(describe());
	}
}
