/**
 * Refusals of requests that the entry does not accept as calls.
 */
import {type NotRunReason} from '../../call/types.ts';
import {type RequestBodyError} from '../errors.ts';

/** The problem answer to a refused request. */
export type CallRefusal = {
	readonly status: number;
	readonly title: string;
	readonly detail: string;
	readonly reason: NotRunReason;
};

const titles: ReadonlyMap<number, string> = new Map([
	[400, 'Bad Request'],
	[401, 'Unauthorized'],
	[403, 'Forbidden'],
	[404, 'Not Found'],
	[409, 'Conflict'],
	[413, 'Content Too Large'],
	[503, 'Service Unavailable'],
	[508, 'Loop Detected'],
]);

/**
 * Creates a refusal; its title follows from its status.
 *
 * @example
 * createRefusal(404, 'service "nosuch" is not known', 'unknown-call');
 */
export function createRefusal(status: number, detail: string, reason: NotRunReason): CallRefusal {
	return {status, title: titles.get(status) ?? 'Refused', detail, reason};
}

/** Refusals whose texts don't depend on the request. */
export const refusals = {
	badToken: createRefusal(401, 'the bearer token is not known', 'bad-request'),
	parentEnded: createRefusal(409, 'the call that this context names has ended', 'parent-ended'),
	leaving: createRefusal(503, 'this entry is leaving', 'draining'),
} as const;

/** Creates the refusal of a request whose body can't be read or is too long. */
export function createBodyRefusal(error: RequestBodyError): CallRefusal {
	return createRefusal(error.kind === 'tooLarge' ? 413 : 400, error.message, 'bad-request');
}
