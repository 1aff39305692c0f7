/**
 * Errors of the admission layer.
 */

/** A broken invariant of admission control; always a fault of the program. */
export class AdmissionInvariantError extends Error {
	/**
	 * @example
	 * throw AdmissionInvariantError.create('slot of attempt "a1" released twice');
	 */
	static create(broken: string): AdmissionInvariantError {
		return new AdmissionInvariantError(`admission invariant broken: ${broken}`);
	}

	override readonly name = 'AdmissionInvariantError';
}

/**
 * Throws unless an invariant holds.
 *
 * @param describe - names the broken invariant; called only on failure
 * @example
 * assertInvariant(inUse <= limit, () => `${inUse} slots in use of ${limit}`);
 */
export function assertInvariant(holds: boolean, describe: () => string): asserts holds {
	if (!holds) {
		throw AdmissionInvariantError.create(describe());
	}
}
