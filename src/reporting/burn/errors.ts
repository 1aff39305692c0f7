/**
 * Errors of the burn report.
 */

/** Rows or the state of the collection could not be stored, read or decoded. */
export class BurnError extends Error {
	static create(action: string, cause: unknown): BurnError {
		const detail = cause instanceof Error ? cause.message : String(cause);
		return new BurnError(`${action}: ${detail}`, {cause});
	}

	override readonly name = 'BurnError';

	private constructor(message: string, options: ErrorOptions) {
		super(message, options);
	}
}
