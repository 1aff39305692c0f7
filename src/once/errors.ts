/**
 * Errors of the layer of once calls.
 */

/** A promise about once calls that did not hold; never expected. */
export class OnceInvariantError extends Error {
	/**
	 * @example
	 * throw OnceInvariantError.create('once/commandes/anonymous/k1', 'claim was taken over after it was sent');
	 */
	static create(key: string, detail: string): OnceInvariantError {
		return new OnceInvariantError(`once call "${key}": ${detail}`);
	}

	override readonly name = 'OnceInvariantError';

	private constructor(message: string) {
		super(message);
	}
}
