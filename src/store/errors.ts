/**
 * Errors of requests to the platform's table and object store.
 */

/**
 * Why an operation on the platform failed.
 *
 * `conditionFailed` and `rejected` prove that nothing was written, and so does `unreachable`, since no
 * byte was sent. `lostAnswer` means that no valid response arrived: a write may have taken effect, or
 * may still do so later.
 */
export type PlatformErrorKind = 'conditionFailed' | 'rejected' | 'unreachable' | 'lostAnswer';

export class PlatformError extends Error {
	/**
	 * @param key - row key, object key or service that the operation concerned
	 * @example
	 * PlatformError.create('lostAnswer', 'PutItem', 'config/head', 'timeout after 500 ms');
	 */
	static create(
		kind: PlatformErrorKind,
		operation: string,
		key: string,
		detail: string,
	): PlatformError {
		return new PlatformError(kind, `${operation} of "${key}" failed (${kind}): ${detail}`);
	}

	override readonly name = 'PlatformError';

	private constructor(
		readonly kind: PlatformErrorKind,
		message: string,
	) {
		super(message);
	}
}
