/** HTTP handlers for messages of the local backend server and for readiness checks. */
import type http from 'node:http';
import {type Result} from 'neverthrow';
import {type IgnoredMessage, type MessageLog} from './reporting/message-log.ts';
import {discardMessage, readMessage} from './read-message.ts';
import {messageLimits} from './http-endpoint.ts';
import {type ServerMessage} from './types.ts';

export type ControlOptions = {
	readonly messageLog: Pick<MessageLog, 'recordIgnored'>;
	decodeMessage(url: string, body: string): Result<ServerMessage, Error>;
	/**
	 * @param sender - address that the message came from
	 * @returns false if the message contradicts what is known of the server
	 */
	handleMessage(message: ServerMessage, sender: string): boolean;
};

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
	const sender = `${request.socket.remoteAddress ?? ''}:${request.socket.remotePort ?? 0}`;
	const recordIgnored = (cause: IgnoredMessage['cause'], reason: string) => {
		options.messageLog.recordIgnored({source: 'control', cause, reason, sender});
	};

	const body = await readMessage(request, messageLimits);
	if (body.isErr()) {
		// The server sends reports periodically.
		recordIgnored('unread', body.error.message);
		response.destroy();
		return;
	}

	const message = options.decodeMessage(request.url ?? '', body.value);
	if (message.isErr()) {
		recordIgnored('undecodable', message.error.message);
		sendEmptyJson(response, 400);
		return;
	}

	let isAccepted: boolean;
	try {
		isAccepted = options.handleMessage(message.value, sender);
	} catch (error) {
		recordIgnored('failed', (error as Error).message);
		sendEmptyJson(response, 500);
		return;
	}

	sendEmptyJson(response, isAccepted ? 200 : 409);
}

function sendEmptyJson(response: http.ServerResponse, status: number): void {
	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': 2});
	response.end('{}');
}

/** Creates the handler for readiness checks: 200 if the sidecar accepts callers, otherwise 503. */
export function createReadyHandler(isReady: () => boolean): http.RequestListener {
	return (request, response) => {
		discardMessage(request, messageLimits);
		response.writeHead(isReady() ? 200 : 503, {'Content-Length': 0});
		response.end();
	};
}
