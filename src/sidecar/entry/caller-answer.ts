/** Writes answers to callers. */
import type http from 'node:http';
import {type RawHeaders} from '../types.ts';

/** Answers of the entry itself, which no server gave. */
export const localStatuses = {
	noRoute: 404,
	bodyTooLong: 413,
	headTooLong: 431,
	/** May have run; nothing is promised. */
	failed: 502,
	/** Has not run and never will. */
	notRun: 503,
	/** No answer in time; nothing is promised. */
	timeout: 504,
} as const;
export type LocalStatus = (typeof localStatuses)[keyof typeof localStatuses];

/** Return of callers who were refused for want of room: spread over this span after a first pause. */
const minRetryAfterMs = 250;
const retryAfterSpreadMs = 1000;
const bodilessStatuses = new Set([204, 304]);

/**
 * Computes when a refused caller may come back.
 *
 * @param random - uniform in [0, 1)
 */
export function computeRetryAfterMs(random: number): number {
	return minRetryAfterMs + random * retryAfterSpreadMs;
}

/** Writes an answer that the entry gives itself. */
export function writeLocalAnswer(
	response: http.ServerResponse,
	status: LocalStatus,
	options: {readonly reason: string; readonly retryAfterMs?: number; readonly closes: boolean},
): void {
	const body = `${options.reason}\n`;
	const headers: string[] = ['Content-Type', 'text/plain', 'Content-Length', String(body.length)];
	if (options.retryAfterMs !== undefined) {
		headers.push('Retry-After', (options.retryAfterMs / 1000).toFixed(3));
	}

	if (options.closes) {
		headers.push('Connection', 'close');
	}

	response.writeHead(status, headers);
	response.end(body);
}

/** Writes a server's whole answer. */
export function relayAnswer(
	response: http.ServerResponse,
	answer: {readonly status: number; readonly headers: RawHeaders},
	body: Uint8Array,
	closes: boolean,
): void {
	const headers = [...answer.headers];
	const hasBody = response.req.method !== 'HEAD' && !bodilessStatuses.has(answer.status);
	if (hasBody) {
		headers.push('Content-Length', String(body.length));
	}

	if (closes) {
		headers.push('Connection', 'close');
	}

	response.writeHead(answer.status, headers);
	response.end(hasBody ? body : undefined);
}

/** Writes the head of a long answer; the body follows in chunks. */
export function relayHead(
	response: http.ServerResponse,
	answer: {readonly status: number; readonly headers: RawHeaders},
): void {
	response.writeHead(answer.status, [...answer.headers, 'Transfer-Encoding', 'chunked']);
}
