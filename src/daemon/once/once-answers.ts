/**
 * Answers to once calls that the current attempt did not run.
 */
import {type OutgoingHttpHeaders, type ServerResponse} from 'node:http';
import {headerNames} from '../../call/headers.ts';
import {type Outcome} from '../../call/types.ts';
import {type OnceResult, type StoredAnswer} from '../../once/types.ts';
import {sendProblem} from '../http/problem.ts';

/** Result of a once call that the current attempt did not run. */
export type UnexecutedResult = Exclude<OnceResult, {kind: 'ran'}>;

/** Groups the values of repeated headers by name, as node:http expects them. */
function groupHeaders(headers: StoredAnswer['headers']): OutgoingHttpHeaders {
	const grouped: Record<string, string | string[]> = {};
	for (const [name, value] of headers) {
		const earlier = grouped[name];
		grouped[name] = earlier === undefined ? value : [earlier, value].flat();
	}

	return grouped;
}

/**
 * Answers a once call that the current attempt did not run, with the stored answer or a problem.
 *
 * @param extraHeaders - control headers
 * @returns the outcome that the answer states
 * @example
 * answerUnexecutedCall(response, {kind: 'inProgress'}, context.requestId, {});
 */
export function answerUnexecutedCall(
	response: ServerResponse,
	result: UnexecutedResult,
	requestId: string,
	extraHeaders: OutgoingHttpHeaders,
): Outcome {
	switch (result.kind) {
		case 'repeated': {
			const {status, headers, body} = result.answer;
			if (!response.destroyed) {
				const repeated = {[headerNames.onceRepeated]: '1'};
				response.writeHead(status, {...groupHeaders(headers), ...extraHeaders, ...repeated});
				response.end(body);
			}

			return {kind: 'answered', status};
		}

		case 'notRun': {
			const detail = 'no claim can be made; repeat it later under the same key';
			const outcome = {kind: 'notRun', reason: result.reason} as const;
			const problem = {status: 503, title: 'Not run', detail, outcome, requestId};
			sendProblem(response, {...problem, retryAfterSeconds: 1}, extraHeaders);
			return outcome;
		}

		case 'inProgress': {
			const detail = 'another attempt with this idempotency key is on its way';
			const outcome = {kind: 'unknown', reason: 'in-progress'} as const;
			const problem = {status: 409, title: 'In progress', detail, outcome, requestId};
			sendProblem(response, {...problem, retryAfterSeconds: 1}, extraHeaders);
			return outcome;
		}

		case 'unknown': {
			const detail = `it is not known whether the call ran (${result.reason})`;
			const outcome = {kind: 'unknown', reason: result.reason} as const;
			const problem = {status: 502, title: 'Outcome unknown', detail, outcome, requestId};
			sendProblem(response, problem, extraHeaders);
			return outcome;
		}

		case 'mismatch': {
			const detail = 'the idempotency key was used for a request with another method, path or body';
			const outcome = {kind: 'notRun', reason: 'key-mismatch'} as const;
			const problem = {status: 422, title: 'Key used before', detail, outcome, requestId};
			sendProblem(response, problem, extraHeaders);
			return outcome;
		}
	}
}
