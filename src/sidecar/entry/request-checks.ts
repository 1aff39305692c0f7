/** What is checked of a request before any work is done for it. */
import {type IncomingHttpHeaders} from 'node:http';
import {type Route} from '../types.ts';
import {type LocalStatus, localStatuses} from './caller-answer.ts';
import {type CallerRequest, formatBodyTooLong} from './caller-request.ts';
import {type EntryContext} from './entry-context.ts';

/** What is to be done with a request. */
export type CheckResult =
	| {readonly kind: 'passed'; readonly route: Route}
	/** It was not run; without a time to come back it can't be served as it is. */
	| {
			readonly kind: 'rejected';
			readonly status: LocalStatus;
			readonly reason: string;
			readonly retryAfterMs?: number;
	  };

/** Return of callers while the sidecar stops or knows no configuration; both end within moments. */
const unavailableRetryAfterMs = 500;
/** Bytes around a header in the head of a request: the colon, a space and the end of the line. */
const headerSeparatorBytes = 4;

/**
 * Checks a request against the state of the sidecar and the configuration in force.
 *
 * @example
 * const verdict = checkRequest(ctx, caller);
 */
export function checkRequest(
	ctx: Pick<EntryContext, 'readRoutes' | 'isClosing'>,
	caller: CallerRequest,
): CheckResult {
	const {request} = caller;
	const routes = ctx.readRoutes();
	if (ctx.isClosing()) {
		return rejectTemporarily('the sidecar stops');
	}

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
	return route === undefined
		? {
				kind: 'rejected',
				status: localStatuses.noRoute,
				reason: `version ${version} has no such route`,
			}
		: {kind: 'passed', route};
}

/** Whether the configuration in force allows no body of that length; without one, any is allowed. */
export function isBodyTooLong(ctx: Pick<EntryContext, 'readRoutes'>, bodyBytes: number): boolean {
	return bodyBytes > (ctx.readRoutes()?.config.limits.maxBodyBytes ?? Number.POSITIVE_INFINITY);
}

/** Reads how long a body says that it is; 0 when it does not say. */
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
