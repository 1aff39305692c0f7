/** Reads whole bodies of answers, bounded in bytes; the time is bounded by the signal of the request. */
import {Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';

/** A body that is longer than its reader accepts. */
export class BodyTooLongError extends Error {
	static create(maxBytes: number): BodyTooLongError {
		return new BodyTooLongError(maxBytes);
	}

	private constructor(readonly maxBytes: number) {
		super(`the body is longer than ${maxBytes} bytes`);
		this.name = 'BodyTooLongError';
	}
}

/**
 * Reads a body to its end.
 *
 * @throws {BodyTooLongError} when it exceeds the limit; its connection is closed then
 * @example
 * const bytes = await readBodyBytes(answer.body, 65_536);
 */
export async function readBodyBytes(body: Readable, maxBytes: number): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	// Leaving the loop early destroys the body.
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		length += chunk.length;
		if (length > maxBytes) {
			throw BodyTooLongError.create(maxBytes);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/**
 * Reads a body as JSON.
 *
 * @throws {BodyTooLongError} when it exceeds the limit
 * @throws {SyntaxError} when it is not JSON
 */
export async function readBodyJson(body: Readable, maxBytes: number): Promise<unknown> {
	const bytes = await readBodyBytes(body, maxBytes);
	return JSON.parse(new TextDecoder().decode(bytes)) as unknown;
}
