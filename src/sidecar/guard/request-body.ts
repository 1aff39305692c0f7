/**
 * The body of a request in the guard: the part that came with its head, and those that follow while it is streamed.
 *
 * What the server's connection has not taken is held here or in its socket, and bounded.
 */
import {Buffer} from 'node:buffer';

/** What a guard holds of a streamed body; a sound entry sends far less ahead of the server. */
const maxHeldBytes = 1024 * 1024;

export class RequestBody {
	/**
	 * @param first - the whole body, or the part of it that has arrived
	 * @example
	 * const body = RequestBody.create(first, head.isWhole);
	 */
	static create(first: Uint8Array, isWhole: boolean): RequestBody {
		return new RequestBody(first, isWhole);
	}

	#waitingParts: Uint8Array[];
	#receivedBytes: number;
	#takenBytes = 0;
	#isWhole: boolean;

	private constructor(first: Uint8Array, isWhole: boolean) {
		this.#waitingParts = [first];
		this.#receivedBytes = first.length;
		this.#isWhole = isWhole;
	}

	/** Whether no further part is to come. */
	get isWhole(): boolean {
		return this.#isWhole;
	}

	/** Length of a whole body; undefined while further parts may come. */
	get wholeBytes(): number | undefined {
		return this.#isWhole ? this.#receivedBytes : undefined;
	}

	/**
	 * Adds a part; it waits here until `removeWaiting` unless it is sent at once.
	 *
	 * @throws {RangeError} when the sender is too far ahead of the server
	 */
	add(part: Uint8Array, isSent: boolean): void {
		this.#receivedBytes += part.length;
		const heldBytes = this.#receivedBytes - this.#takenBytes;
		if (heldBytes > maxHeldBytes) {
			throw new RangeError(
				`${heldBytes} bytes of a body are ahead of the server, more than ${maxHeldBytes}`,
			);
		}

		if (!isSent) {
			this.#waitingParts.push(part);
		}
	}

	end(): void {
		this.#isWhole = true;
	}

	/** Removes the parts that wait, and returns them in their order. */
	removeWaiting(): Uint8Array[] {
		const parts = this.#waitingParts;
		this.#waitingParts = [];
		return parts.length === 1 || !this.#isWhole ? parts : [Buffer.concat(parts)];
	}

	/** Records a part that the server's connection has taken; returns the total. */
	recordTaken(bytes: number): number {
		this.#takenBytes += bytes;
		return this.#takenBytes;
	}
}

/** Encodes a part of a body whose length isn't announced; see RFC 9112, section 7.1. */
export function encodeChunk(part: Uint8Array): Uint8Array {
	// A chunk without bytes would end the body.
	if (part.length === 0) {
		return part;
	}

	const size = Buffer.from(`${part.length.toString(16)}\r\n`, 'latin1');
	return Buffer.concat([size, part, Buffer.from('\r\n', 'latin1')]);
}
