/** HTTP handlers for messages of the local backend server and for readiness checks. */
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

/** Starts an HTTP server; resolves when it listens. */
export async function startHttpServer(
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

/** Creates the handler for reports and leave messages of the local backend server. */
export function createControlHandler(options: ControlOptions): http.RequestListener {
	return (request, response) => {
		void handleControlRequest(options, request, response);
	};
}

async function handleControlRequest(
	options: ControlOptions,
	request: http.IncomingMessage,
	response: http.ServerResponse,
): Promise<void> {
	let body: string;
	try {
		body = await readText(request);
	} catch (error) {
		// The server aborted the request; it sends reports periodically.
		const reason = (error as Error).message;
		options.logger.warn({reason}, 'could not read the body of a message from the backend server');
		return;
	}

	const message = options.decodeMessage(request.url ?? '', body);
	if (message.isErr()) {
		options.logger.warn(
			{reason: message.error.message},
			'could not decode a message from the backend server',
		);
		sendEmptyJson(response, 400);
		return;
	}

	try {
		options.handleMessage(message.value);
	} catch (error) {
		const reason = (error as Error).message;
		options.logger.error(
			{reason, kind: message.value.kind},
			'failed to handle a message of the server',
		);
		sendEmptyJson(response, 500);
		return;
	}

	sendEmptyJson(response, 200);
}

function sendEmptyJson(response: http.ServerResponse, status: number): void {
	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': 2});
	response.end('{}');
}

/** Creates the handler for readiness checks: 200 if the sidecar accepts callers, otherwise 503. */
export function createReadyHandler(isReady: () => boolean): http.RequestListener {
	return (request, response) => {
		request.resume();
		response.writeHead(isReady() ? 200 : 503, {'Content-Length': 0});
		response.end();
	};
}
