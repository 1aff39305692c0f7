/** Puts together what a guard needs to know of a request. */
import {type CallHead} from '../link/messages.ts';
import {type Route} from '../types.ts';
import {type CallerRequest} from './caller-request.ts';
import {type EntryContext} from './entry-context.ts';

/** What differs from send to send of one request. */
export type AttemptDetails = {
	readonly route: Route;
	readonly service: string;
	readonly serverId: string;
	readonly remainingMs: number;
	readonly isNested: boolean;
};

/**
 * Creates the head of one send, with a nonce of its own.
 *
 * @example
 * const head = createCallHead(ctx, caller, details);
 */
export function createCallHead(
	ctx: EntryContext,
	caller: CallerRequest,
	details: AttemptDetails,
): CallHead {
	const {request, head, isWhole} = caller;
	const {route, service, serverId, remainingMs, isNested: isInner} = details;
	return {
		nonce: ctx.createNonce(),
		requestId: head.requestId,
		method: request.method ?? 'GET',
		path: request.url ?? '/',
		headers: head.headers,
		remainingMs,
		service,
		serverId,
		callerService: ctx.readCallerService(),
		route: route.name,
		isOnce: route.callKind === 'once',
		priority: route.priority,
		isWhole,
		isInner,
	};
}
