/**
 * Mints idempotency keys for callers: `POST /primrosevalve/keys/SERVICE`.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {importance} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {type PolicyMatcher} from '../../policy/match.ts';
import {type Router} from '../../routing/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {type EntryOnceCalls} from '../once/entry-once-calls.ts';
import {type CallOrigin} from './call-origin.ts';
import {type CallRefusal} from './call-refusals.ts';
import {findCallerName, checkCallerAccess} from './classify-call.ts';
import {idempotencyKeyHeader} from './once-call.ts';

/** Path prefix on the caller port and the local port; the name of the service follows. */
export const keysPath = '/primrosevalve/keys/';

export type MintKeyInput = {
	readonly matcher: PolicyMatcher;
	readonly router: Router;
	readonly once: EntryOnceCalls | undefined;
	readonly origin: CallOrigin;
};

/**
 * Picks a server that currently accepts calls. Each choice of the router must be recorded; no call is sent, so
 * this one is recorded as cancelled.
 */
function pickMember(router: Router, service: string): Member | undefined {
	const nowMs = readMonotonicMs();
	const choice = router.choose(
		{
			service,
			importance: importance.critical,
			needs: [],
			callName: '*',
			requestBytes: 0,
			excluded: new Set(),
		},
		nowMs,
	);
	if (choice.kind === 'refused') {
		return undefined;
	}

	const {member} = choice;
	router.recordStart(member, nowMs);
	router.recordResult({member, callName: '*', kind: 'cancelled', latencyMs: 0, bytes: 0}, nowMs);
	return member;
}

/**
 * Mints a key and answers with 201 and the key.
 *
 * @returns the refusal if no key was minted, or undefined if the answer was sent
 * @example
 * const refusal = mintKey(request, response, {matcher, router, once, origin});
 */
export function mintKey(
	request: IncomingMessage,
	response: ServerResponse,
	input: MintKeyInput,
): CallRefusal | undefined {
	const service = request.url?.slice(keysPath.length) ?? '';
	if (request.method !== 'POST') {
		const detail = `use POST ${keysPath}SERVICE`;
		return {status: 405, title: 'Method Not Allowed', detail, reason: 'bad-request'};
	}

	const accessRefusal = checkCallerAccess(input.matcher, input.origin, service);
	if (accessRefusal !== undefined) {
		return accessRefusal;
	}

	const member = pickMember(input.router, service);
	if (member === undefined || input.once === undefined) {
		const detail = `no server of service "${service}" takes calls`;
		return {status: 503, title: 'Service Unavailable', detail, reason: 'no-server'};
	}

	const key = input.once.mintKey(service, findCallerName(input.origin), member.instanceId);
	response.writeHead(201, {'content-type': 'application/json', 'cache-control': 'no-store'});
	response.end(JSON.stringify({key, header: idempotencyKeyHeader}));
	return undefined;
}
