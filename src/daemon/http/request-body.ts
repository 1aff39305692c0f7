/**
 * Reads request bodies: small ones whole, so that they can be sent again, large ones as a stream.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {Transform, type Readable, type TransformCallback} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';
import {RequestBodyError} from '../errors.ts';

/** Largest body in bytes that is read whole before the call is sent. */
export const maxReplayBytes = 65_536;

export type RequestBody =
	| {readonly kind: 'empty'}
	/** Read whole; may be sent more than once. */
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	/** Can be sent once. */
	| {readonly kind: 'stream'; readonly stream: Readable};

/** Ends a stream with an error once it passes a number of bytes. */
class SizeLimit extends Transform {
	static create(maxBytes: number): SizeLimit {
		return new SizeLimit(maxBytes);
	}

	#bytes = 0;
	readonly #maxBytes: number;

	private constructor(maxBytes: number) {
		super();
		this.#maxBytes = maxBytes;
	}

	override _transform(chunk: Uint8Array, _encoding: BufferEncoding, done: TransformCallback): void {
		this.#bytes += chunk.length;
		if (this.#bytes > this.#maxBytes) {
			done(RequestBodyError.create('tooLarge', this.#maxBytes));
			return;
		}

		done(null, chunk);
	}
}

/** Reads a body of a known, small length. */
async function readWhole(
	request: IncomingMessage,
	maxBytes: number,
): Promise<Result<RequestBody, RequestBodyError>> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let length = 0;
		request.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
			if (length > maxBytes) {
				request.pause();
				resolve(err(RequestBodyError.create('tooLarge', maxBytes)));
				return;
			}

			chunks.push(chunk);
		});
		request.once('end', () => {
			resolve(ok({kind: 'whole', bytes: Buffer.concat(chunks)}));
		});
		request.once('close', () => {
			resolve(err(RequestBodyError.create('aborted', maxBytes)));
		});
	});
}

/**
 * Reads the rest of a body that came as a stream, so that it can be digested and sent again.
 *
 * @returns the whole body, or `tooLarge` or `aborted`
 * @example
 * const whole = await readWholeBody(body, rule.maxBodyBytes);
 */
export async function readWholeBody(
	body: RequestBody,
	maxBytes: number,
): Promise<Result<RequestBody, RequestBodyError>> {
	if (body.kind !== 'stream') {
		return ok(body);
	}

	try {
		const chunks: Uint8Array[] = [];
		for await (const chunk of body.stream as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
		}

		return ok({kind: 'whole', bytes: Buffer.concat(chunks)});
	} catch (error) {
		return err(
			error instanceof RequestBodyError ? error : RequestBodyError.create('aborted', maxBytes),
		);
	}
}

/**
 * Reads the body of a request.
 *
 * @param maxBytes - largest body in bytes that is let through
 * @returns the body, or `tooLarge` or `aborted`
 * @example
 * const body = await readRequestBody(request, rule.maxBodyBytes);
 */
export async function readRequestBody(
	request: IncomingMessage,
	maxBytes: number,
): Promise<Result<RequestBody, RequestBodyError>> {
	const lengthHeader = request.headers['content-length'];
	if (lengthHeader === undefined && request.headers['transfer-encoding'] === undefined) {
		return ok({kind: 'empty'});
	}

	const length = lengthHeader === undefined ? undefined : Number(lengthHeader);
	if (length === 0) {
		return ok({kind: 'empty'});
	}

	if (length !== undefined && length > maxBytes) {
		return err(RequestBodyError.create('tooLarge', maxBytes));
	}

	if (length !== undefined && length <= maxReplayBytes) {
		return readWhole(request, maxBytes);
	}

	const limit = SizeLimit.create(maxBytes);
	request.on('error', error => {
		limit.destroy(error);
	});
	request.on('close', () => {
		if (!request.complete) {
			limit.destroy(RequestBodyError.create('aborted', maxBytes));
		}
	});
	// An undici request that ends early destroys its body; without a listener that would end the process.
	limit.on('error', () => {
		request.unpipe(limit);
	});
	request.pipe(limit);
	return ok({kind: 'stream', stream: limit});
}

/**
 * Chooses what the HTTP client sends as the body.
 *
 * @example
 * const sent = chooseSentBody({kind: 'empty'}); // undefined
 */
export function chooseSentBody(body: RequestBody): Uint8Array | Readable | undefined {
	switch (body.kind) {
		case 'empty': {
			return undefined;
		}

		case 'whole': {
			return body.bytes;
		}

		case 'stream': {
			return body.stream;
		}
	}
}
