/**
 * A decoded operation of the platform stand-in that has not run yet, and its errors.
 */

export type OperationAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
};

export type Operation = {
	/** Name in the API, for example `PutItem`. */
	readonly name: string;
	/** Whether the operation writes data. */
	readonly isWrite: boolean;
	/** Runs the operation; throws `ApiError` when the API would reject it. */
	run(): OperationAnswer;
};

/** An error answer of the API, with its HTTP status and error code. */
export class ApiError extends Error {
	/**
	 * @example
	 * throw ApiError.create(400, 'ValidationException', 'Key is missing');
	 */
	static create(
		status: number,
		code: string,
		message: string,
		details: Record<string, unknown> = {},
	): ApiError {
		return new ApiError(status, code, message, details);
	}

	override readonly name = 'ApiError';

	private constructor(
		readonly status: number,
		readonly code: string,
		message: string,
		readonly details: Record<string, unknown>,
	) {
		super(message);
	}
}
