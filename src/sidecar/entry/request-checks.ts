/** Checks a request against limits and routes before any work is done for it. */
import {type IncomingHttpHeaders} from 'node:http';
import {maxDurationMs} from '../../decoding/value-checks.ts';
import {type RequestHead, type Route} from '../types.ts';
import {type LocalStatus, localStatuses} from './caller-answer.ts';
import {type CallerRequest, formatBodyTooLong} from './caller-request.ts';
import {type EntryContext} from './entry-context.ts';

export type CheckResult =
	| {readonly kind: 'passed'; readonly route: Route}
	/** The request was not run; without `retryAfterMs` a retry of the same request would fail again. */
	| {
			readonly kind: 'rejected';
			readonly status: LocalStatus;
			readonly reason: string;
			readonly retryAfterMs?: number;
	  };

/** Retry-After while the sidecar is stopping or has no configuration yet; both states are short. */
const unavailableRetryAfterMs = 500;
/** Deadline of requests that carry none. */
const defaultDeadlineMs = 30_000;
/** Bytes of a header line beside name and value: colon, space and CRLF. */
const headerSeparatorBytes = 4;

/**
 * Checks a request against the sidecar's state and the active configuration.
 *
 * @example
 * const result = checkRequest(ctx, caller);
 */
export function checkRequest(
	ctx: Pick<EntryContext, 'readRoutes' | 'canAccept'>,
	caller: CallerRequest,
): CheckResult {
	const {request} = caller;
	const routes = ctx.readRoutes();
	if (routes === undefined) {
		return rejectTemporarily('no configuration is known yet');
	}

	const {limits, version} = routes.config;
	const headBytes = computeHeadBytes(request.rawHeaders);
	if (headBytes > limits.maxHeaderBytes) {
		const reason = `headers of ${headBytes} bytes, allowed are ${limits.maxHeaderBytes}`;
		return {kind: 'rejected', status: localStatuses.headTooLong, reason};
	}

	const bodyBytes = Math.max(caller.body.length, readBodyBytes(request.headers));
	if (isBodyTooLong(ctx, bodyBytes)) {
		const reason = formatBodyTooLong(limits);
		return {kind: 'rejected', status: localStatuses.bodyTooLong, reason};
	}

	const route = routes.findRoute(request.headers.host ?? '', request.url ?? '/');
	if (route === undefined) {
		const reason = `version ${version} has no such route`;
		return {kind: 'rejected', status: localStatuses.noRoute, reason};
	}

	return ctx.canAccept(computeTimeoutMs(caller.head, route))
		? {kind: 'passed', route}
		: rejectTemporarily('the sidecar stops');
}

/** Computes the time within which a request is answered in any case, in milliseconds. */
export function computeTimeoutMs({deadlineMs}: RequestHead, route: Route): number {
	return Math.min(deadlineMs ?? defaultDeadlineMs, route.timeoutMs, maxDurationMs);
}

/** Whether a body exceeds the limit of the active configuration; without one, any length is allowed. */
export function isBodyTooLong(ctx: Pick<EntryContext, 'readRoutes'>, bodyBytes: number): boolean {
	return bodyBytes > (ctx.readRoutes()?.config.limits.maxBodyBytes ?? Number.POSITIVE_INFINITY);
}

/** Reads the body's length from Content-Length; 0 when it is missing or not a number. */
export function readBodyBytes(headers: Pick<IncomingHttpHeaders, 'content-length'>): number {
	const bytes = Number(headers['content-length'] ?? '0');
	return Number.isFinite(bytes) ? bytes : 0;
}

function rejectTemporarily(reason: string): CheckResult {
	return {
		kind: 'rejected',
		status: localStatuses.notRun,
		reason,
		retryAfterMs: unavailableRetryAfterMs,
	};
}

function computeHeadBytes(rawHeaders: readonly string[]): number {
	let bytes = 0;
	for (const part of rawHeaders) {
		bytes += part.length;
	}

	return bytes + (rawHeaders.length / 2) * headerSeparatorBytes;
}
