/**
 * One operation of the platform stand-in, decoded but not yet carried out.
 */

export type OperationAnswer = {
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
};

export type Operation = {
	/** Name as in the API, for example `PutItem`. */
	readonly name: string;
	/** Whether the operation changes anything. */
	readonly isWrite: boolean;
	/** Carries the operation out. */
	run(): OperationAnswer;
};

/** A request that the API would refuse. */
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
