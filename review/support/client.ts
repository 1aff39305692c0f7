/** Clients of a sidecar's outbound address. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';
import {routeHost} from './deployment.ts';

export type ClientRequest = {
	readonly port: number;
	readonly path: string;
	readonly id: string;
	readonly method?: 'GET' | 'POST';
	readonly body?: Uint8Array;
	readonly agent?: http.Agent;
	readonly deadlineMs?: number;
};

export type ClientAnswer = {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: string;
};

/** Sends a request; rejects when the connection ends without a whole answer. */
export async function sendRequest(request: ClientRequest): Promise<ClientAnswer> {
	const {port, path, id, method = 'GET', body, agent, deadlineMs = 5000} = request;
	return new Promise((resolve, reject) => {
		const headers: http.OutgoingHttpHeaders = {host: routeHost, 'x-deadline-ms': deadlineMs};
		if (id !== '') {
			headers['x-attempt-id'] = id;
		}

		if (body !== undefined) {
			headers['content-length'] = body.length;
		}

		const options = {host: '127.0.0.1', port, path, method, headers, agent: agent ?? false};
		const sent = http.request(options);
		sent.on('error', reject);
		sent.on('response', response => {
			const chunks: Uint8Array[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('error', reject);
			response.on('end', () => {
				resolve({
					status: response.statusCode ?? 0,
					headers: response.headers,
					body: Buffer.concat(chunks).toString('latin1'),
				});
			});
		});
		sent.end(body);
	});
}

/** Digest of a body, as the record shows it. */
export function digestBody(body: Uint8Array): string {
	return createHash('sha256').update(body).digest('hex').slice(0, 16);
}

/** A body of one letter, so that bytes of another body show. */
export function createBody(letter: string, bytes: number): Uint8Array {
	return Buffer.alloc(bytes, letter);
}
