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

/** An idempotency key that can't be used. */
export class OnceKeyError extends Error {
	/**
	 * @example
	 * OnceKeyError.create('', 'is empty');
	 */
	static create(key: string, detail: string): OnceKeyError {
		return new OnceKeyError(`idempotency key ${JSON.stringify(key)} ${detail}`);
	}

	override readonly name = 'OnceKeyError';

	private constructor(message: string) {
		super(message);
	}
}
