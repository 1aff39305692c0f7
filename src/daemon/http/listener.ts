/**
 * HTTP listener of a daemon.
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
	/** Time limit for receiving a whole request, in milliseconds. */
	readonly requestTimeoutMs: number;
	readonly maxHeaderBytes: number;
	readonly maxConnections: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly keepAliveMs: number;
};

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

const formatProblemBody = (status: number, title: string): string =>
	JSON.stringify({type: 'about:blank', title, status, outcome: 'notRun', reason: 'bad-request'});

/** Formats the whole HTTP answer to a request that node:http could not parse. */
function formatParseErrorResponse(code: string | undefined): string {
	const [status, title] = chooseParseErrorStatus(code);
	const body = formatProblemBody(status, title);
	return [
		`HTTP/1.1 ${status} ${title}`,
		'content-type: application/problem+json',
		`content-length: ${Buffer.byteLength(body)}`,
		'connection: close',
		'',
		body,
	].join('\r\n');
}

/** Chooses the status and reason phrase for an error code of the node:http parser. */
function chooseParseErrorStatus(code: string | undefined): readonly [number, string] {
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

/** An HTTP listener, owned by one task. */
export class Listener {
	/**
	 * Opens a listener. With `port` 0 the operating system assigns a free port.
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
				socket.end(formatParseErrorResponse(error.code));
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

	/** Stops accepting connections; resolves once all open connections have ended. */
	async close(): Promise<void> {
		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
	}

	/** Stops accepting connections and closes all open ones without waiting for their requests. */
	closeNow(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
