/** Reads whole messages from outside, bounded in bytes and in time. */
import {Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';

export type ReadLimits = {readonly maxBytes: number; readonly maxMs: number};

/** Why a message could not be read. */
export class MessageReadError extends Error {
	static create(reason: string): MessageReadError {
		return new MessageReadError(reason);
	}

	private constructor(reason: string) {
		super(reason);
		this.name = 'MessageReadError';
	}
}

/**
 * Reads a stream to its end. One that exceeds a limit is destroyed, and nothing of it is kept.
 *
 * @example
 * const text = await readMessage(request, {maxBytes: 65_536, maxMs: 1000});
 */
export async function readMessage(
	stream: Readable,
	{maxBytes, maxMs}: ReadLimits,
): Promise<Result<string, MessageReadError>> {
	return new Promise(resolve => {
		let chunks: Uint8Array[] = [];
		let bytes = 0;
		const fail = (reason: string) => {
			clearTimeout(timer);
			chunks = [];
			stream.destroy();
			resolve(err(MessageReadError.create(reason)));
		};

		const timer = setTimeout(fail, maxMs, `has not ended after ${maxMs} ms`);
		stream.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			if (bytes > maxBytes) {
				fail(`is longer than ${maxBytes} bytes`);
				return;
			}

			chunks.push(chunk);
		});
		stream.on('end', () => {
			clearTimeout(timer);
			resolve(ok(Buffer.concat(chunks).toString('utf8')));
		});
		stream.on('error', error => {
			fail(error.message);
		});
		stream.on('close', () => {
			fail('the connection closed before its end');
		});
	});
}

/** Reads and drops a body that nobody needs; the connection of one that is too long or too slow is closed. */
export function discardMessage(stream: Readable, limits: ReadLimits): void {
	// A body that exceeds a limit has ended its connection; there is nothing else to report.
	void readMessage(stream, limits);
}
