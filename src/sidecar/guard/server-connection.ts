/**
 * One HTTP/1.1 connection to the backend server, with one request at a time.
 *
 * Answers are matched by request id. An answer to another request is skipped and condemns the
 * connection, as do bytes after an answer: they belong to no request.
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {HTTPParser} from 'http-parser-js';
import {type HeadCodec, type ServerAnswerHead, type SocketAddress} from '../types.ts';

/** A server on the same machine accepts within a millisecond; a silent one is given this long. */
const connectTimeoutMs = 500;

/** What a connection tells the request that it carries. */
export type ConnectionListener = {
	handleHead(head: ServerAnswerHead): void;
	handleData(chunk: Uint8Array): void;
	/** The answer is whole. */
	handleEnd(): void;
	/** There will be no whole answer. */
	handleFailure(reason: string, hasSent: boolean): void;
};

type ParserChunk = Parameters<InstanceType<typeof HTTPParser>['execute']>[0];

type Exchange = {readonly requestId: string; readonly listener: ConnectionListener};

/** What a connection tells the pool that owns it. */
export type ConnectionOwner = {
	handleIdle(connection: ServerConnection): void;
	handleClosed(connection: ServerConnection): void;
};

/** Bytes that are read are copied from here at once, so all connections share it. */
const readBuffer = Buffer.allocUnsafe(64 * 1024);
const lengthHeaders = new Set(['content-length', 'transfer-encoding']);

/** Whether a head says where the body ends. */
function hasLength(rawHeaders: readonly string[]): boolean {
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (lengthHeaders.has(rawHeaders[index]!.toLowerCase())) {
			return true;
		}
	}

	return false;
}

export class ServerConnection {
	/**
	 * Opens a connection; requests may be sent at once and go out when it is established.
	 *
	 * @example
	 * const connection = ServerConnection.open(address, codec, owner);
	 */
	static open(address: SocketAddress, codec: HeadCodec, owner: ConnectionOwner): ServerConnection {
		return new ServerConnection(address, codec, owner);
	}

	/** When the connection became idle, on the steady clock. */
	idleSinceMs = 0;
	/** How long the server said that it keeps the connection. */
	keepAliveMs: number | undefined;
	/** The last request that went over this connection. */
	lastRequestId = '';

	readonly #socket: net.Socket;
	readonly #codec: HeadCodec;
	readonly #owner: ConnectionOwner;
	readonly #parser = new HTTPParser(HTTPParser.RESPONSE);
	#exchange: Exchange | undefined;
	#isOurs = false;
	#isComplete = false;
	#isCondemned = false;
	#isConnected = false;
	#isRequestSent = false;
	#isHeadRequest = false;
	/** Whether the answer under way has no length. */
	#isUnframed = false;
	#isPaused = false;

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
		this.#socket.setTimeout(connectTimeoutMs);
		this.#listenToSocket();
		this.#listenToParser();
	}

	/**
	 * Sends a request head and the body, or the part of it that is there.
	 *
	 * @param isWhole - whether the body is complete
	 */
	send(
		request: {requestId: string; method: string; head: string; body: Uint8Array; isWhole: boolean},
		listener: ConnectionListener,
	): void {
		this.#exchange = {requestId: request.requestId, listener};
		this.lastRequestId = request.requestId;
		this.#isHeadRequest = request.method === 'HEAD';
		this.#isRequestSent = request.isWhole;
		if (request.body.length === 0) {
			this.#socket.write(request.head, 'latin1');
			return;
		}

		this.#socket.cork();
		this.#socket.write(request.head, 'latin1');
		this.#socket.write(request.body);
		this.#socket.uncork();
	}

	/** Sends a part of a body as one chunk; false asks for a pause. */
	sendChunk(chunk: Uint8Array): boolean {
		const size = Buffer.from(`${chunk.length.toString(16)}\r\n`, 'latin1');
		return this.#socket.write(Buffer.concat([size, chunk, Buffer.from('\r\n', 'latin1')]));
	}

	sendLastChunk(): void {
		this.#isRequestSent = true;
		this.#socket.write('0\r\n\r\n', 'latin1');
	}

	setPaused(isPaused: boolean): void {
		this.#isPaused = isPaused;
		if (isPaused) {
			this.#socket.pause();
		} else {
			this.#socket.resume();
		}
	}

	/** Ends the connection, and with it the request that it carries. */
	close(): void {
		this.#exchange = undefined;
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
			this.#receiveEnd();
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
			this.#handleHead(info.statusCode, info.headers, info.shouldKeepAlive);
		parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
			if (this.#isOurs) {
				this.#exchange?.listener.handleData(chunk.subarray(offset, offset + length));
			}
		};

		parser[HTTPParser.kOnMessageComplete] = () => {
			if (this.#isOurs) {
				this.#isComplete = true;
				this.#isOurs = false;
			}
		};
	}

	/**
	 * Handles what was read; false stops the reading.
	 *
	 * An answer without a length is whole when the server ends its side, and cut when the connection is
	 * reset. While a read is under way, libuv reports both alike, so each read of such an answer stops the
	 * reading and the next one tells them apart.
	 */
	#handleRead(chunk: ParserChunk): boolean {
		this.#receive(chunk);
		if (this.#isUnframed && !this.#isPaused) {
			setImmediate(() => {
				this.setPaused(this.#isPaused);
			});
		}

		return !this.#isUnframed;
	}

	#receive(chunk: ParserChunk): void {
		if (this.#exchange === undefined) {
			this.#socket.destroy();
			return;
		}

		const result = this.#parser.execute(chunk);
		if (typeof result !== 'number') {
			this.#isCondemned = true;
		}

		if (this.#isComplete) {
			this.#finish();
		} else if (typeof result !== 'number') {
			this.#fail(`the answer can't be read: ${result.message}`);
			this.#socket.destroy();
		}
	}

	/** An answer without a length is whole when the server ends its side. */
	#receiveEnd(): void {
		this.#isCondemned = true;
		const result: unknown = this.#parser.finish();
		if (this.#isComplete && !(result instanceof Error)) {
			this.#finish();
		}
	}

	/** @returns 1 when the answer has no body */
	#handleHead(status: number, headers: string[], shouldKeepAlive: boolean): number {
		const isInformational = status < 200;
		if (isInformational) {
			return 0;
		}

		const exchange = this.#exchange;
		if (exchange === undefined || this.#isComplete) {
			this.#isCondemned = true;
			return 0;
		}

		const head = this.#codec.decodeAnswer(status, headers);
		const isMatch =
			head.requestId === exchange.requestId || (head.requestId === undefined && head.isNotRun);
		if (!isMatch) {
			this.#isCondemned = true;
			return 0;
		}

		this.#isOurs = true;
		this.#isUnframed = !hasLength(headers);
		this.#isCondemned ||= head.closes || !shouldKeepAlive;
		this.keepAliveMs = head.keepAliveMs ?? this.keepAliveMs;
		exchange.listener.handleHead(head);
		return this.#isHeadRequest ? 1 : 0;
	}

	/** Hands the whole answer over and gives the connection back, unless it is condemned. */
	#finish(): void {
		const exchange = this.#exchange;
		this.#exchange = undefined;
		this.#isComplete = false;
		// A server that answers early may still read the rest of the body from this connection.
		if (this.#isCondemned || !this.#isRequestSent) {
			this.#socket.destroy();
		}

		exchange?.listener.handleEnd();
		if (!this.#socket.destroyed) {
			this.#owner.handleIdle(this);
		}
	}

	#fail(reason: string): void {
		const exchange = this.#exchange;
		this.#exchange = undefined;
		exchange?.listener.handleFailure(reason, this.#isConnected);
	}
}
