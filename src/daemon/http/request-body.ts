/**
 * Reads request bodies. Small ones are buffered, so that they can be sent again; large ones are
 * streamed.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {Transform, type Readable, type TransformCallback} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';
import {RequestBodyError} from '../errors.ts';

/** Size in bytes of the largest body that `readRequestBody` buffers. */
export const maxBufferedBytes = 65_536;

export type RequestBody =
	| {readonly kind: 'empty'}
	/** Buffered; can be sent more than once. */
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	/** Streamed; can be sent once only. */
	| {readonly kind: 'stream'; readonly stream: Readable};

/** Passes a stream through and fails with `tooLarge` once it exceeds a number of bytes. */
class SizeLimitStream extends Transform {
	static create(maxBytes: number): SizeLimitStream {
		return new SizeLimitStream(maxBytes);
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

/** Buffers a body whose length is known and small. */
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
 * Buffers a streamed body, so that its digest can be computed and it can be sent again.
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
 * Reads the body of a request: buffers it if its declared length is small, streams it otherwise.
 *
 * @param maxBytes - size in bytes of the largest accepted body
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

	if (length !== undefined && length <= maxBufferedBytes) {
		return readWhole(request, maxBytes);
	}

	const limit = SizeLimitStream.create(maxBytes);
	request.on('error', error => {
		limit.destroy(error);
	});
	request.on('close', () => {
		if (!request.complete) {
			limit.destroy(RequestBodyError.create('aborted', maxBytes));
		}
	});
	// Undici destroys the body of a request that ends early. Without an error listener, the error
	// event would end the process.
	limit.on('error', () => {
		request.unpipe(limit);
	});
	request.pipe(limit);
	return ok({kind: 'stream', stream: limit});
}

/**
 * Converts a body to the type that the HTTP client sends.
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
