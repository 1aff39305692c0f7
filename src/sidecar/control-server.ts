/** Hears the backend server beside the sidecar, and answers whether the sidecar takes callers. */
import http from 'node:http';
import {text as readText} from 'node:stream/consumers';
import {type Result} from 'neverthrow';
import {type Logger} from '../reporting/logger.ts';
import {type ServerMessage, type SocketAddress} from './types.ts';

export type ControlOptions = {
	readonly logger: Logger;
	decodeMessage(url: string, body: string): Result<ServerMessage, Error>;
	handleMessage(message: ServerMessage): void;
};

/** Starts a plain server; resolves when it listens. */
export async function listenForRequests(
	address: SocketAddress,
	handle: http.RequestListener,
): Promise<http.Server> {
	return new Promise((resolve, reject) => {
		const server = http.createServer({keepAliveTimeout: 30_000}, handle);
		server.once('error', reject);
		server.listen(address, () => {
			resolve(server);
		});
	});
}

/** Creates the handler of the server's reports and leave messages. */
export function createControlHandler(options: ControlOptions): http.RequestListener {
	return (request, response) => {
		void answerMessage(options, request, response);
	};
}

async function answerMessage(
	options: ControlOptions,
	request: http.IncomingMessage,
	response: http.ServerResponse,
): Promise<void> {
	let body: string;
	try {
		body = await readText(request);
	} catch (error) {
		// The server broke off and reports again.
		const reason = (error as Error).message;
		options.logger.warn({reason}, 'message of the server was cut short');
		return;
	}

	const message = options.decodeMessage(request.url ?? '', body);
	if (message.isErr()) {
		options.logger.warn({reason: message.error.message}, 'message of the server not understood');
		answerJson(response, 400);
		return;
	}

	options.handleMessage(message.value);
	answerJson(response, 200);
}

function answerJson(response: http.ServerResponse, status: number): void {
	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': 2});
	response.end('{}');
}

/** Creates the handler that says whether callers may come. */
export function createReadyHandler(isReady: () => boolean): http.RequestListener {
	return (request, response) => {
		request.resume();
		response.writeHead(isReady() ? 200 : 503, {'Content-Length': 0});
		response.end();
	};
}
