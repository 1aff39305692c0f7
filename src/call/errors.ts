/**
 * Errors of the call layer.
 */

/** A context header that is missing or malformed. */
export class CallHeaderError extends Error {
	/**
	 * @example
	 * CallHeaderError.create('primrosevalve-deadline', 'soon');
	 */
	static create(header: string, value: unknown): CallHeaderError {
		const shown = value === undefined ? 'missing' : JSON.stringify(value);
		return new CallHeaderError(`header "${header}" is not usable: ${shown}`, header);
	}

	override readonly name = 'CallHeaderError';

	private constructor(
		message: string,
		readonly header: string,
	) {
		super(message);
	}
}
