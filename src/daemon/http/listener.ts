/**
 * Opens and closes the HTTP listeners of a daemon.
 */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {ListenError} from '../errors.ts';

export type ListenerOptions = {
	readonly listenerName: string;
	readonly address: string;
	readonly port: number;
	readonly headerTimeoutMs: number;
	/** Longest time for a request to arrive whole, in milliseconds. */
	readonly requestTimeoutMs: number;
	readonly maxHeaderBytes: number;
	readonly maxConnections: number;
	/** Time that an idle connection is kept, in milliseconds. */
	readonly keepAliveMs: number;
};

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

const problemBody = (status: number, title: string): string =>
	JSON.stringify({type: 'about:blank', title, status, outcome: 'notRun', reason: 'bad-request'});

/** Writes the answer to a request that could not be parsed. */
function formatParseFailure(code: string | undefined): string {
	const [status, title] = chooseParseStatus(code);
	const body = problemBody(status, title);
	return [
		`HTTP/1.1 ${status} ${title}`,
		'content-type: application/problem+json',
		`content-length: ${Buffer.byteLength(body)}`,
		'connection: close',
		'',
		body,
	].join('\r\n');
}

/** Chooses the status for a parse error code of node:http. */
function chooseParseStatus(code: string | undefined): readonly [number, string] {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW': {
			return [431, 'Request Header Fields Too Large'];
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return [408, 'Request Timeout'];
		}

		default: {
			return [400, 'Bad Request'];
		}
	}
}

/** One HTTP listener, owned by one task. */
export class Listener {
	/**
	 * Opens a listener; `port` 0 lets the kernel choose.
	 *
	 * @throws ListenError when the port can't be bound
	 * @example
	 * const listener = await Listener.open(options, (request, response) => response.end());
	 */
	static async open(options: ListenerOptions, handler: RequestHandler): Promise<Listener> {
		const server = createServer(
			{
				maxHeaderSize: options.maxHeaderBytes,
				headersTimeout: options.headerTimeoutMs,
				requestTimeout: options.requestTimeoutMs,
				keepAliveTimeout: options.keepAliveMs,
				connectionsCheckingInterval: 500,
				noDelay: true,
			},
			handler,
		);
		server.maxConnections = options.maxConnections;
		server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			if (socket.writable) {
				socket.end(formatParseFailure(error.code));
			} else {
				socket.destroy();
			}
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', (error: NodeJS.ErrnoException) => {
				const detail = error.code ?? error.message;
				reject(ListenError.create(options.listenerName, options.address, options.port, detail));
			});
			server.listen(options.port, options.address, resolve);
		});
		return new Listener(server);
	}

	readonly #server: Server;

	private constructor(server: Server) {
		this.#server = server;
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Stops accepting connections and resolves once the last one has ended. */
	async close(): Promise<void> {
		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
	}

	/** Closes every connection at once. */
	closeNow(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
