/** Builds the head of a request that is sent to a guard. */
import {type MemberView} from '../discovery/member-view.ts';
import {type CallHead} from '../link/messages.ts';
import {computeDigest} from '../quarantine/request-digest.ts';
import {type Route} from '../types.ts';
import {type CallerRequest} from './caller-request.ts';
import {type EntryContext} from './entry-context.ts';

/** Parameters of one attempt; they may differ between the attempts of a request. */
export type AttemptDetails = {
	readonly route: Route;
	readonly service: string;
	readonly view: MemberView;
	readonly remainingMs: number;
	readonly isNested: boolean;
	readonly isPatient: boolean;
	readonly digest: string;
};

/**
 * Creates the head of one attempt, with a nonce of its own.
 *
 * @example
 * const head = createCallHead(ctx, caller, details);
 */
export function createCallHead(
	ctx: EntryContext,
	caller: CallerRequest,
	details: AttemptDetails,
): CallHead {
	const {request, head} = caller;
	const {route, service, view, remainingMs, isNested, isPatient, digest} = details;
	return {
		nonce: ctx.createNonce(),
		requestId: head.requestId,
		method: request.method ?? 'GET',
		path: request.url ?? '/',
		headers: head.headers,
		remainingMs,
		service,
		serverId: view.member.serverId,
		callerService: ctx.readCallerService(),
		route: route.name,
		isOnce: route.callKind === 'once',
		priority: route.priority,
		isWhole: caller.isWhole,
		isNested,
		isPatient,
		serverLimitPerSecond: view.limitPerSecond,
		digest,
	};
}

/** Computes what identifies the request if it comes again. */
export function computeCallerDigest(caller: CallerRequest, callerService: string): string {
	const {request, body, isWhole} = caller;
	const {method = 'GET', url: path = '/', headers} = request;
	return computeDigest({method, host: headers.host ?? '', path, callerService, body, isWhole});
}
