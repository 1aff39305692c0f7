/**
 * Limits how much of a streamed body is on its way: passed on by the entry and not yet taken by the server's connection.
 *
 * It bounds what the sockets and the guard hold of one request, however slowly its server reads.
 */

/** Bytes of one body that may be on their way. */
export const sendWindowBytes = 256 * 1024;

export class SendWindow {
	/**
	 * @example
	 * const window = SendWindow.create();
	 * if (!window.recordSent(chunk.length)) {
	 * 	request.pause();
	 * }
	 */
	static create(): SendWindow {
		return new SendWindow();
	}

	#sentBytes = 0;
	#takenBytes = 0;

	private constructor() {
		// Instances are created with `create`.
	}

	/** Whether more may be sent. */
	get isOpen(): boolean {
		return this.#sentBytes - this.#takenBytes < sendWindowBytes;
	}

	/** Records a part that was passed on; returns whether more may be sent. */
	recordSent(bytes: number): boolean {
		this.#sentBytes += bytes;
		return this.isOpen;
	}

	/**
	 * Records what the server's connection has taken so far. A smaller total than before, or more than was sent, is not
	 * believed.
	 *
	 * @param totalBytes - since the start of the window
	 * @returns whether more may be sent
	 */
	recordTaken(totalBytes: number): boolean {
		this.#takenBytes = Math.max(this.#takenBytes, Math.min(totalBytes, this.#sentBytes));
		return this.isOpen;
	}
}
