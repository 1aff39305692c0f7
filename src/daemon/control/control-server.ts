/**
 * Serves the control procedures on the peer port.
 *
 * The procedures, their types and the format of the responses are those of trpc. The HTTP adapters of
 * trpc use the fetch API, for which Node.js loads a second copy of undici. This module avoids that by
 * reading the request body and calling the procedure itself.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Buffer} from 'node:buffer';
import {ControlError} from '../errors.ts';
import {controlPath, createControlRouter, type ControlProcedures} from './control-router.ts';

/** Handles a control request whose peer key has been verified. */
export type ControlRequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Limit for the body of a control request; gossip requests of kind `push` are the largest. */
const maxRequestBytes = 262_144;

/**
 * Creates a handler for control requests that calls the given procedures.
 *
 * @example
 * guard.setControlHandler(createControlHandler(procedures));
 */
export function createControlHandler(procedures: ControlProcedures): ControlRequestHandler {
	const caller = createControlRouter(procedures).createCaller({});
	const call = async (request: IncomingMessage): Promise<unknown> => {
		const procedure = request.url?.slice(controlPath.length).split('?')[0];
		switch (procedure) {
			case 'exchange': {
				return caller.exchange(await readGossipRequest(request));
			}

			case 'policy': {
				return caller.policy();
			}

			default: {
				throw ControlError.create(String(procedure), 'there is no such procedure');
			}
		}
	};

	return (request, response) => {
		void sendResult(call(request), response);
	};
}

async function sendResult(result: Promise<unknown>, response: ServerResponse): Promise<void> {
	try {
		const data = await result;
		sendJson(response, 200, {result: {data}});
	} catch (error) {
		const {message} = error as Error;
		const data = {code: 'BAD_REQUEST', httpStatus: 400};
		sendJson(response, 400, {error: {message, code: -32_600, data}});
	}
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
	const body = Buffer.from(JSON.stringify(value));
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': body.length,
	});
	response.end(body);
}

async function readGossipRequest(request: IncomingMessage): Promise<GossipInput> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		length += chunk.length;
		if (length > maxRequestBytes) {
			throw ControlError.create('exchange', `body is larger than ${maxRequestBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString('utf8')) as GossipInput;
}

type GossipInput = Parameters<ControlProcedures['exchange']>[0];
