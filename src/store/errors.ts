/**
 * Errors of the platform layer.
 */

/**
 * How an operation of the platform ended badly.
 *
 * `conditionFailed` and `rejected` prove that nothing was written; `unreachable` proves it too, since
 * no byte was sent. After `lostAnswer` a write may have taken effect, or may still do so.
 */
export type PlatformErrorKind = 'conditionFailed' | 'rejected' | 'unreachable' | 'lostAnswer';

export class PlatformError extends Error {
	/**
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
