/**
 * Error answers as problem documents (application/problem+json) that state the outcome of the call.
 */
import {Buffer} from 'node:buffer';
import {type OutgoingHttpHeaders, type ServerResponse} from 'node:http';
import {headerNames} from '../../call/headers.ts';
import {type UnansweredOutcome} from '../../call/execution-tracker.ts';

export type Problem = {
	readonly status: number;
	readonly title: string;
	readonly detail: string;
	readonly outcome: UnansweredOutcome;
	readonly requestId?: string;
	/** Value of the `retry-after` header, in seconds. */
	readonly retryAfterSeconds?: number;
};

/**
 * Answers with a problem document. If an answer has begun already, its connection is
 * closed instead.
 *
 * @param extraHeaders - further headers, for example the load report of a guard
 * @example
 * sendProblem(response, {status: 400, title: 'Bad request', detail: 'path is empty', outcome});
 */
export function sendProblem(
	response: ServerResponse,
	problem: Problem,
	extraHeaders: OutgoingHttpHeaders = {},
): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const body = JSON.stringify({
		type: 'about:blank',
		title: problem.title,
		status: problem.status,
		detail: problem.detail,
		outcome: problem.outcome.kind,
		reason: problem.outcome.reason,
		requestId: problem.requestId,
	});
	response.writeHead(problem.status, {
		...extraHeaders,
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		[headerNames.outcome]: problem.outcome.kind,
		[headerNames.reason]: formatReason(problem.outcome.reason),
		...(problem.requestId === undefined ? {} : {[headerNames.request]: problem.requestId}),
		...(problem.retryAfterSeconds === undefined
			? {}
			: {'retry-after': String(problem.retryAfterSeconds)}),
	});
	response.end(body);
}

/** Converts a reason to a header value: printable ASCII, at most 200 characters. */
function formatReason(reason: string): string {
	return reason.replaceAll(/[^\u0020-\u007E]/gv, '?').slice(0, 200);
}

/** Statuses for reasons of unknown outcomes that callers must distinguish from other failures. */
const unknownStatuses: ReadonlyMap<string, number> = new Map([
	['deadline', 504],
	['in-progress', 409],
]);

/**
 * Chooses the HTTP status for a call that got no whole answer.
 *
 * @example
 * chooseProblemStatus({kind: 'notRun', reason: 'overload'}); // 503
 */
export function chooseProblemStatus(outcome: UnansweredOutcome): number {
	switch (outcome.kind) {
		case 'notRun': {
			return outcome.reason === 'key-mismatch' ? 422 : 503;
		}

		case 'unknown': {
			return unknownStatuses.get(outcome.reason) ?? 502;
		}

		case 'failed': {
			return 502;
		}
	}
}
