/** Writes answers to callers. */
import type http from 'node:http';
import {type RawHeaders} from '../types.ts';

/** Statuses of answers that the entry generates itself. */
export const localStatuses = {
	noRoute: 404,
	bodyTooLong: 413,
	headTooLong: 431,
	/** The request may have run or not. */
	failed: 502,
	/** The request was not run and never will be. */
	notRun: 503,
	/** No answer before the deadline; the request may have run or not. */
	timeout: 504,
} as const;
export type LocalStatus = (typeof localStatuses)[keyof typeof localStatuses];

/** Retry-After of refused requests: a minimum plus a random part that spreads the retries. */
const minRetryAfterMs = 250;
const retryAfterSpreadMs = 1000;
const bodilessStatuses = new Set([204, 304]);

/**
 * Computes after what time a refused caller may retry, in milliseconds.
 *
 * @param random - uniform in [0, 1)
 */
export function computeRetryAfterMs(random: number): number {
	return minRetryAfterMs + random * retryAfterSpreadMs;
}

/** Writes an answer that the entry generates itself. */
export function writeLocalAnswer(
	response: http.ServerResponse,
	status: LocalStatus,
	options: {
		readonly reason: string;
		readonly retryAfterMs?: number;
		readonly closesConnection: boolean;
	},
): void {
	const body = `${options.reason}\n`;
	const headers: string[] = ['Content-Type', 'text/plain', 'Content-Length', String(body.length)];
	if (options.retryAfterMs !== undefined) {
		headers.push('Retry-After', (options.retryAfterMs / 1000).toFixed(3));
	}

	if (options.closesConnection) {
		headers.push('Connection', 'close');
	}

	response.writeHead(status, headers);
	response.end(body);
}

/** Relays a server's whole answer. */
export function relayAnswer(
	response: http.ServerResponse,
	answer: {readonly status: number; readonly headers: RawHeaders},
	body: Uint8Array,
	closesConnection: boolean,
): void {
	const headers = [...answer.headers];
	const hasBody = response.req.method !== 'HEAD' && !bodilessStatuses.has(answer.status);
	if (hasBody) {
		headers.push('Content-Length', String(body.length));
	}

	if (closesConnection) {
		headers.push('Connection', 'close');
	}

	response.writeHead(answer.status, headers);
	response.end(hasBody ? body : undefined);
}

/** Relays the head of a long answer; the body follows in chunks. */
export function relayHead(
	response: http.ServerResponse,
	answer: {readonly status: number; readonly headers: RawHeaders},
): void {
	response.writeHead(answer.status, [...answer.headers, 'Transfer-Encoding', 'chunked']);
}
