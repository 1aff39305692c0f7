/**
 * Origin of a call: a caller or the local backend server. It decides access, importance and deadline.
 */
import {type RunningCall} from '../guard/running-calls.ts';
import {type PolicyMatcher} from '../../policy/match.ts';
import {type CallerPolicy} from '../../policy/schema.ts';

export type CallOrigin =
	/** A caller; `policy` is undefined for the anonymous caller. */
	| {readonly kind: 'caller'; readonly policy: CallerPolicy | undefined}
	/** A child call of the local backend server, made for a call that it runs. */
	| {readonly kind: 'server'; readonly parent: RunningCall}
	/** A call that the local backend server makes on its own behalf, without a parent call. */
	| {readonly kind: 'serverOwn'; readonly service: string};

/**
 * Finds the caller of a request by its bearer token; without a token it is the anonymous caller.
 *
 * @returns the origin, or `badToken` if the header is malformed or the token is unknown
 * @example
 * findCaller(matcher, undefined); // {kind: 'caller', policy: undefined}
 */
export function findCaller(
	matcher: PolicyMatcher,
	authorization: string | undefined,
): CallOrigin | 'badToken' {
	if (authorization === undefined) {
		return {kind: 'caller', policy: undefined};
	}

	const token = /^Bearer (\S{1,512})$/v.exec(authorization)?.[1];
	const policy = token === undefined ? undefined : matcher.findCallerByToken(token);
	return policy === undefined ? 'badToken' : {kind: 'caller', policy};
}
