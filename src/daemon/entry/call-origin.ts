/**
 * Where a call came from, and what that lets it ask for.
 */
import {type RunningCall} from '../guard/running-calls.ts';
import {type CallerPolicy} from '../../policy/schema.ts';

export type CallOrigin =
	/** A caller outside; `policy` is undefined for an anonymous one. */
	| {readonly kind: 'caller'; readonly policy: CallerPolicy | undefined}
	/** The local backend server, on behalf of a call that it runs. */
	| {readonly kind: 'server'; readonly parent: RunningCall}
	/** The local backend server, of its own accord. */
	| {readonly kind: 'serverOwn'; readonly service: string};
