/**
 * Errors of once calls.
 */

/** A violated invariant of once calls; indicates a bug. */
export class OnceInvariantError extends Error {
	/**
	 * @example
	 * throw OnceInvariantError.create('once/commandes/anonymous/k1', 'claim was replaced after the request was sent');
	 */
	static create(key: string, detail: string): OnceInvariantError {
		return new OnceInvariantError(`once call "${key}": ${detail}`);
	}

	override readonly name = 'OnceInvariantError';

	private constructor(message: string) {
		super(message);
	}
}
