/**
 * One HTTP/1.1 connection to the backend server, with one request at a time.
 *
 * Answers are matched by request id. An answer to another request is skipped, and the connection is not reused then, nor
 * after excess bytes, which belong to no request.
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {HTTPParser} from 'http-parser-js';
import {type HeadCodec, type SocketAddress} from '../types.ts';
import {checkHeaders, hasLengthHeader} from './answer-headers.ts';
import {joinParts, readBuffer} from './answer-buffer.ts';
import {AnswerMatcher} from './answer-match.ts';
import {countExcessBytes, createAnswerParser, type ParserChunk} from './answer-parser.ts';
import {
	type ConnectionListener,
	type ConnectionOwner,
	type PendingRequest,
} from './connection-events.ts';
import {RequestWriter} from './request-writer.ts';

const connectTimeoutMs = 500;
/** Lower ones are interim answers. */
const firstFinalStatus = 200;
/** Bytes that a server may send without body data of the answer; the parser itself only limits the head of one answer. */
const maxBytesWithoutData = 256 * 1024;

export class ServerConnection {
	/**
	 * Opens a connection. A request may be sent at once; it is buffered until the connection is established.
	 *
	 * @example
	 * const connection = ServerConnection.open(address, codec, owner);
	 */
	static open(address: SocketAddress, codec: HeadCodec, owner: ConnectionOwner): ServerConnection {
		return new ServerConnection(address, codec, owner);
	}

	/** When the connection became idle, on the monotonic clock. */
	idleSinceMs = 0;
	/** Keep-alive time-out that the server last stated. */
	keepAliveMs: number | undefined;

	readonly #socket: net.Socket;
	readonly #writer: RequestWriter;
	readonly #codec: HeadCodec;
	readonly #owner: ConnectionOwner;
	readonly #parser = createAnswerParser();
	#pending: PendingRequest | undefined;
	readonly #matcher = AnswerMatcher.create();
	#isAnswerMatched = false;
	#isAnswerComplete = false;
	#mustClose = false;
	#isConnected = false;
	#isHeadRequest = false;
	/** Whether the current answer has no length header. */
	#lacksLengthHeader = false;
	#isPaused = false;
	/** Parts of the body in the current read. */
	#bodyParts: Uint8Array[] = [];
	/** Bytes received since the request was sent or since the last body data of its answer. */
	#bytesWithoutData = 0;

	private constructor(address: SocketAddress, codec: HeadCodec, owner: ConnectionOwner) {
		this.#codec = codec;
		this.#owner = owner;
		this.#socket = net.connect({
			...address,
			noDelay: true,
			onread: {
				buffer: readBuffer,
				callback: (count, bytes) => this.#handleRead(Buffer.from(bytes.subarray(0, count))),
			},
		});
		this.#writer = RequestWriter.create(this.#socket);
		this.#socket.setTimeout(connectTimeoutMs);
		this.#listenToSocket();
		this.#listenToParser();
	}

	/**
	 * Sends a request head and the body, or the available part of it.
	 *
	 * @param request - `isWhole` is true if the body is complete; otherwise chunks follow
	 */
	send(
		request: {requestId: string; method: string; head: string; body: Uint8Array; isWhole: boolean},
		listener: ConnectionListener,
	): void {
		this.#pending = {requestId: request.requestId, listener};
		this.#matcher.begin(request.requestId);
		this.#isHeadRequest = request.method === 'HEAD';
		this.#bytesWithoutData = 0;
		this.#writer.send(request);
	}

	/** Whether an answer to an earlier send of a request may still arrive here. */
	hasCarried(requestId: string): boolean {
		return this.#matcher.hasCarried(requestId);
	}

	sendChunk(chunk: Uint8Array, handleTaken: () => void): void {
		this.#writer.sendChunk(chunk, handleTaken);
	}

	sendLastChunk(): void {
		this.#writer.sendLastChunk();
	}

	setPaused(isPaused: boolean): void {
		this.#isPaused = isPaused;
		if (isPaused) {
			this.#socket.pause();
		} else if (this.#lacksLengthHeader) {
			setImmediate(() => {
				if (!this.#isPaused) {
					this.#socket.resume();
				}
			});
		} else {
			this.#socket.resume();
		}
	}

	/** Closes the connection; the listener of its request gets no further events. */
	close(): void {
		this.#pending = undefined;
		this.#socket.destroy();
	}

	#listenToSocket(): void {
		const socket = this.#socket;
		socket.on('connect', () => {
			this.#isConnected = true;
			socket.setTimeout(0);
		});
		socket.on('timeout', () => {
			socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
		});
		socket.on('end', () => {
			this.#handleSocketEnd();
		});
		socket.on('error', error => {
			this.#fail(error.message);
		});
		socket.on('close', () => {
			this.#fail('the server closed the connection');
			this.#owner.handleClosed(this);
		});
	}

	#listenToParser(): void {
		const parser = this.#parser;
		parser[HTTPParser.kOnHeadersComplete] = info =>
			this.#handleAnswerHead(info.statusCode, info.headers, info.shouldKeepAlive);
		parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
			if (this.#isAnswerMatched) {
				this.#bodyParts.push(chunk.subarray(offset, offset + length));
			}
		};

		parser[HTTPParser.kOnMessageComplete] = () => {
			if (this.#isAnswerMatched) {
				this.#isAnswerComplete = true;
				this.#isAnswerMatched = false;
				this.#mustClose ||= countExcessBytes(parser) > 0;
			}
		};
	}

	/**
	 * Handles received bytes; returns false to stop reading.
	 *
	 * An answer without a length header is complete when the server ends its side, and truncated after a reset. Within one
	 * read libuv reports both alike, so reading stops after each read and goes on in a later one.
	 */
	#handleRead(chunk: ParserChunk): boolean {
		this.#parse(chunk);
		if (this.#lacksLengthHeader && !this.#isPaused) {
			this.setPaused(false);
		}

		return !this.#lacksLengthHeader;
	}

	#parse(chunk: ParserChunk): void {
		if (this.#pending === undefined) {
			this.#socket.destroy();
			return;
		}

		this.#bytesWithoutData += chunk.length;
		const result = this.#runParser(chunk);
		this.#passBodyOn(chunk.length);
		this.#mustClose ||= result instanceof Error;

		if (this.#isAnswerComplete) {
			this.#finishExchange();
		} else if (result instanceof Error) {
			this.#fail(`the answer can't be read: ${result.message}`);
			this.#socket.destroy();
		} else if (this.#bytesWithoutData > maxBytesWithoutData) {
			this.#fail(`${this.#bytesWithoutData} bytes without data of the answer`);
			this.#socket.destroy();
		}
	}

	/** Passes on what one read has brought of the body, as one part. */
	#passBodyOn(readBytes: number): void {
		const parts = this.#bodyParts;
		if (parts.length > 0) {
			this.#bodyParts = [];
			this.#bytesWithoutData = 0;
			this.#pending?.listener.handleData(joinParts(parts, readBytes));
		}
	}

	/** Runs the parser; errors of its callbacks, which it throws, are returned like its own. */
	#runParser(chunk: ParserChunk): number | Error {
		try {
			return this.#parser.execute(chunk);
		} catch (error) {
			return error as Error;
		}
	}

	/** Completes an answer without a length header when the server ends its side. */
	#handleSocketEnd(): void {
		this.#mustClose = true;
		const result: unknown = this.#parser.finish();
		if (this.#isAnswerComplete && !(result instanceof Error)) {
			this.#finishExchange();
		}
	}

	/** @returns 1 to make the parser skip the body: an answer to HEAD has none */
	#handleAnswerHead(status: number, headers: string[], shouldKeepAlive: boolean): number {
		if (status < firstFinalStatus) {
			return 0;
		}

		const pending = this.#pending;
		if (pending === undefined || this.#isAnswerComplete) {
			this.#mustClose = true;
			return 0;
		}

		checkHeaders(headers);
		const head = this.#codec.decodeAnswer(status, headers);
		switch (this.#matcher.match(head)) {
			case 'matched': {
				break;
			}

			case 'foreign': {
				this.#mustClose = true;
				return 0;
			}

			case 'unproved': {
				throw new Error(`status ${status} without the statement that the request was not run`);
			}
		}

		this.#mustClose ||= this.#matcher.isFull;
		this.#isAnswerMatched = true;
		this.#lacksLengthHeader = !hasLengthHeader(headers);
		this.#mustClose ||= head.closesConnection || !shouldKeepAlive;
		this.keepAliveMs = head.keepAliveMs ?? this.keepAliveMs;
		pending.listener.handleHead(head);
		return this.#isHeadRequest ? 1 : 0;
	}

	/** Delivers the end of the answer, then returns the connection to the pool or closes it. */
	#finishExchange(): void {
		const pending = this.#pending;
		this.#pending = undefined;
		this.#isAnswerComplete = false;
		// A server that answers early may still read the rest of the request body from this connection.
		if (this.#mustClose || !this.#writer.isSent) {
			this.#socket.destroy();
		}

		pending?.listener.handleEnd();
		if (!this.#socket.destroyed) {
			if (this.#isPaused) {
				this.setPaused(false);
			}

			this.#owner.handleIdle(this);
		}
	}

	#fail(reason: string): void {
		const pending = this.#pending;
		this.#pending = undefined;
		pending?.listener.handleFailure(reason, this.#isConnected);
	}
}
