/** HTTP server for the callers on this instance, among them the local server. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {type Socket} from 'node:net';
import {type CallerLimits, type SocketAddress} from '../types.ts';
import {EntryCall} from './entry-call.ts';
import {type EntryContext} from './entry-context.ts';
import {isBodyTooLong, readBodyBytes} from './request-checks.ts';

/** Length of the accept queue; a full queue delays new connections by seconds. */
const backlog = 1024;
/** Bodies up to this size are buffered, so that the request can be retried; longer ones are streamed. */
const maxBufferedBodyBytes = 256 * 1024;
/** A body that takes longer is streamed, so that the limits in time of its route apply to it. */
const maxBufferMs = 3000;
/** How often the limits in time of connections and heads are checked. */
const checkIntervalMs = 1000;
/** Longest request head that the parser reads; the configuration may set a lower limit. */
const maxHeaderBytes = 64 * 1024;
/** Status lines for parser errors, by error code; a timeout means that the head did not arrive in time. */
const parserStatuses: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const noBody = Buffer.alloc(0);

export class EntryServer {
	/**
	 * @example
	 * const server = EntryServer.create(ctx);
	 * await server.listen({host: '10.1.0.8', port: 8304});
	 */
	static create(ctx: EntryContext): EntryServer {
		return new EntryServer(ctx);
	}

	readonly #server: http.Server;
	readonly #calls = new Set<EntryCall>();
	#activeRequests = 0;

	private constructor(private readonly ctx: EntryContext) {
		const options = {
			maxHeaderSize: maxHeaderBytes,
			requestTimeout: 0,
			connectionsCheckingInterval: checkIntervalMs,
			keepAliveTimeout: 15_000,
			noDelay: true,
		};
		this.#server = http.createServer(options, (request, response) => {
			this.#runOrClose(request, response, () => {
				this.#handleRequest(request, response);
			});
		});
		this.#server.on('connection', () => {
			this.ctx.acceptQueue.recordAccept();
		});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			if (socket.bytesRead === 0) {
				socket.destroy();
			} else if (socket.writable) {
				const status = parserStatuses[error.code ?? ''] ?? '400 Bad Request';
				socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
			}
		});
	}

	/** Number of requests in progress. */
	get activeRequests(): number {
		return this.#activeRequests;
	}

	async listen(address: SocketAddress): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({...address, backlog}, resolve);
		});
	}

	/** Applies the time limits for idle connections and for request heads. */
	setLimits(limits: CallerLimits): void {
		this.#server.keepAliveTimeout = limits.idleTimeoutMs;
		this.#server.headersTimeout = limits.headerTimeoutMs;
	}

	/**
	 * Accepts no more connections and closes those that are idle. A connection that was just accepted is not idle:
	 * its first request is still answered.
	 */
	async stopListening(): Promise<void> {
		return new Promise(resolve => {
			// After the poll phase of the event loop, which has just accepted all pending connections.
			setImmediate(() => {
				this.#server.close();
				resolve();
			});
		});
	}

	/** Withdraws the requests that have not run, so that their callers get a refusal. */
	withdrawRequests(): void {
		for (const call of this.#calls) {
			call.withdraw();
		}
	}

	/** Gives the requests that are left a final answer. */
	endRequests(): void {
		for (const call of this.#calls) {
			call.end();
		}
	}

	close(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Runs a step of a request; an unexpected error closes the connection of this request only. */
	#runOrClose(request: http.IncomingMessage, response: http.ServerResponse, run: () => void): void {
		try {
			run();
		} catch (error) {
			const reason = (error as Error).message;
			this.ctx.logger.error({reason, path: request.url}, 'failed to handle a request');
			response.destroy();
		}
	}

	#handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
		this.#activeRequests++;
		response.on('close', () => {
			this.#activeRequests--;
		});
		response.sendDate = false;
		const head = this.ctx.codec.decodeRequest(request.rawHeaders);
		const {headers} = request;
		const hasBody =
			headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
		const start = (body: Uint8Array, isWhole: boolean) => {
			const call = EntryCall.create(this.ctx, {request, response, head, body, isWhole});
			this.#calls.add(call);
			response.on('close', () => {
				this.#calls.delete(call);
			});
			this.ctx.runQueue.submit(() => {
				this.#runOrClose(request, response, () => {
					call.start();
				});
			});
		};

		if (!hasBody) {
			start(noBody, true);
		} else if (isBodyTooLong(this.ctx, readBodyBytes(headers))) {
			// The request is rejected without waiting for the body.
			start(noBody, false);
		} else {
			bufferBody(request, start);
		}
	}
}

/** Buffers a body until it is whole or exceeds the limit for buffering. */
function bufferBody(
	request: http.IncomingMessage,
	onBody: (body: Uint8Array, isWhole: boolean) => void,
): void {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	const handleData = (chunk: Uint8Array) => {
		chunks.push(chunk);
		bytes += chunk.length;
		if (bytes > maxBufferedBodyBytes) {
			startStream();
		}
	};

	const startStream = () => {
		clearTimeout(timer);
		request.off('data', handleData);
		request.off('end', handleEnd);
		request.pause();
		onBody(Buffer.concat(chunks), false);
	};

	const timer = setTimeout(startStream, maxBufferMs);
	const handleEnd = () => {
		clearTimeout(timer);
		onBody(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks), true);
	};

	request.on('data', handleData);
	request.on('end', handleEnd);
	request.on('close', () => {
		clearTimeout(timer);
	});
	request.on('error', () => {
		// The caller disconnected; the close event of the response ends the call.
	});
}
