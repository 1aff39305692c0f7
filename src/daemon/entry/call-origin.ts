/**
 * Where a call came from, and what that lets it ask for.
 */
import {type RunningCall} from '../guard/running-calls.ts';
import {type PolicyMatcher} from '../../policy/match.ts';
import {type CallerPolicy} from '../../policy/schema.ts';

export type CallOrigin =
	/** A caller outside; `policy` is undefined for an anonymous one. */
	| {readonly kind: 'caller'; readonly policy: CallerPolicy | undefined}
	/** The local backend server, on behalf of a call that it runs. */
	| {readonly kind: 'server'; readonly parent: RunningCall}
	/** The local backend server, of its own accord. */
	| {readonly kind: 'serverOwn'; readonly service: string};

/**
 * Finds the caller that a bearer token names; without a token it is anonymous.
 *
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
