/**
 * Serves the control procedures on the peer port.
 *
 * The procedures and their types are trpc's, as is the form of its answers. The HTTP adapters of trpc
 * work on the fetch API, for which Node.js loads a second undici, so that this module reads the body
 * and calls the procedure itself.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Buffer} from 'node:buffer';
import {ControlError} from '../errors.ts';
import {controlPath, createControlRouter, type ControlPort} from './control-router.ts';

/** Handles a control request that passed the check of the peer key. */
export type ControlRequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Largest control request in bytes; a push carries the most. */
const maxRequestBytes = 262_144;

/**
 * Creates the handler of control requests.
 *
 * @example
 * guard.setControlHandler(createControlHandler(port));
 */
export function createControlHandler(port: ControlPort): ControlRequestHandler {
	const caller = createControlRouter(port).createCaller({});
	const call = async (request: IncomingMessage): Promise<unknown> => {
		const procedure = request.url?.slice(controlPath.length).split('?')[0];
		switch (procedure) {
			case 'exchange': {
				return caller.exchange(await readJson(request));
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
		void answerCall(call(request), response);
	};
}

async function answerCall(result: Promise<unknown>, response: ServerResponse): Promise<void> {
	try {
		const data = await result;
		writeJson(response, 200, {result: {data}});
	} catch (error) {
		const {message} = error as Error;
		const data = {code: 'BAD_REQUEST', httpStatus: 400};
		writeJson(response, 400, {error: {message, code: -32_600, data}});
	}
}

function writeJson(response: ServerResponse, status: number, value: unknown): void {
	const body = Buffer.from(JSON.stringify(value));
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': body.length,
	});
	response.end(body);
}

async function readJson(request: IncomingMessage): Promise<GossipInput> {
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

type GossipInput = Parameters<ControlPort['exchange']>[0];
