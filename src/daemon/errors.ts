/**
 * Errors of the daemon.
 */

/** A request body that is too large or incomplete. */
export class RequestBodyError extends Error {
	/**
	 * @param maxBytes - limit for the size of the body
	 * @example
	 * RequestBodyError.create('tooLarge', 1_048_576);
	 */
	static create(kind: 'tooLarge' | 'aborted', maxBytes: number): RequestBodyError {
		const detail =
			kind === 'tooLarge'
				? `body is larger than ${maxBytes} bytes`
				: 'connection closed before the body was whole';
		return new RequestBodyError(kind, detail);
	}

	override readonly name = 'RequestBodyError';

	private constructor(
		readonly kind: 'tooLarge' | 'aborted',
		message: string,
	) {
		super(message);
	}
}

/** A listener that could not be opened. */
export class ListenError extends Error {
	/**
	 * @example
	 * ListenError.create('peer', '127.0.0.1', 7001, 'EADDRINUSE');
	 */
	static create(listener: string, address: string, port: number, detail: string): ListenError {
		return new ListenError(`can't listen on ${address}:${port} (${listener} port): ${detail}`);
	}

	override readonly name = 'ListenError';
}

/** A failed call of a control procedure. */
export class ControlError extends Error {
	/**
	 * @example
	 * ControlError.create('exchange', 'timeout after 400 ms');
	 */
	static create(procedure: string, detail: string): ControlError {
		return new ControlError(`control procedure "${procedure}" failed: ${detail}`);
	}

	override readonly name = 'ControlError';

	private constructor(message: string) {
		super(message);
	}
}
