/** Clients of a case: each attempt has an id of its own and is recorded with its answer. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {type CaseRecord} from './record.ts';
import {sign} from './server.ts';
import {host} from './sidecar.ts';

export type ClientRequest = {
	readonly port: number;
	readonly hostName: string;
	readonly path: string;
	readonly method?: string;
	readonly body?: Uint8Array;
	readonly deadlineMs: number;
};

/** What a client got: status 0 without a whole answer. */
export type ClientAnswer = {
	readonly id: string;
	readonly status: number;
	/** Whether the answer is a success with the signature of the server's whole body. */
	readonly isServed: boolean;
	readonly body: Uint8Array;
	readonly headers: http.IncomingHttpHeaders;
	readonly sentAtMs: number;
	readonly tookMs: number;
	readonly failure: string;
};

let requestCount = 0;

/** Sends a request, and gives up at its deadline. */
export async function sendRequest(
	record: CaseRecord,
	options: ClientRequest,
): Promise<ClientAnswer> {
	const {port, hostName, path, method = 'GET', body, deadlineMs} = options;
	const id = (++requestCount).toString(16).padStart(16, '0');
	const sentAtMs = record.readMs();
	record.add(`client: ${id} sent to ${port}, ${method} ${path}`);
	const answer = await new Promise<ClientAnswer>(resolve => {
		const chunks: Uint8Array[] = [];
		const finish = (response: http.IncomingMessage | undefined, failure: string) => {
			clearTimeout(timer);
			const received = Buffer.concat(chunks);
			const status = failure === '' ? (response?.statusCode ?? 0) : 0;
			const isSuccess = status >= 200 && status < 300;
			const {headers = {}} = response ?? {};
			const isServed = isSuccess && headers['x-server-signature'] === sign(id, received);
			const tookMs = record.readMs() - sentAtMs;
			resolve({id, status, isServed, body: received, headers, sentAtMs, tookMs, failure});
		};

		const request = http.request({
			host,
			port,
			path,
			method,
			agent: false,
			headers: {
				host: hostName,
				'x-attempt-id': id,
				'x-deadline-ms': String(deadlineMs),
				...(body !== undefined && {'content-length': body.length}),
			},
		});
		const timer = setTimeout(() => {
			finish(undefined, 'the deadline has passed');
			request.destroy();
		}, deadlineMs);
		request.on('response', response => {
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				finish(response, '');
			});
			response.on('error', error => {
				finish(response, error.message);
			});
		});
		request.on('error', error => {
			finish(undefined, error.message);
		});
		request.end(body);
	});
	const {status, isServed, tookMs, failure, body: received} = answer;
	const outcome = failure === '' ? `status ${status}, served ${isServed}` : `no answer, ${failure}`;
	const text = status >= 400 ? `, ${Buffer.from(received).toString().trim()}` : '';
	record.add(`client: ${id} ended after ${Math.round(tookMs)} ms: ${outcome}${text}`);
	return answer;
}

/** Sends a request; resolves to whether it is served. */
export async function trySend(record: CaseRecord, options: ClientRequest): Promise<boolean> {
	const {isServed} = await sendRequest(record, options);
	return isServed;
}

export function countServed(answers: readonly ClientAnswer[]): number {
	return answers.filter(({isServed}) => isServed).length;
}

/** Sends requests at a steady rate, each to a path of its own unless `hasSamePath`; resolves to all answers. */
export async function sendSteadily(
	record: CaseRecord,
	options: ClientRequest,
	plan: {readonly count: number; readonly perSecond: number; readonly hasSamePath?: boolean},
): Promise<ClientAnswer[]> {
	const {count, perSecond, hasSamePath = false} = plan;
	const answers: Array<Promise<ClientAnswer>> = [];
	for (let index = 0; index < count; index++) {
		const path = hasSamePath ? options.path : `${options.path}${index}`;
		answers.push(sendRequest(record, {...options, path}));
		await wait(1000 / perSecond);
	}

	return Promise.all(answers);
}
