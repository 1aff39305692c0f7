/**
 * Mints idempotency keys for callers: `POST /primrosevalve/keys/SERVICE`.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {importance} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {type PolicyMatcher} from '../../policy/match.ts';
import {type Router} from '../../routing/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {type EntryOnce} from '../once/entry-once.ts';
import {type CallOrigin} from './call-origin.ts';
import {type CallRefusal} from './call-refusals.ts';
import {findCallerName, findForbidden} from './classify-call.ts';
import {idempotencyKeyHeader} from './once-call.ts';

/** Path on the caller port and on the local port, before the name of the service. */
export const keysPath = '/primrosevalve/keys/';

export type MintInput = {
	readonly matcher: PolicyMatcher;
	readonly router: Router;
	readonly once: EntryOnce | undefined;
	readonly origin: CallOrigin;
};

/** Picks a server that would take a call now. */
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
 * Answers a request for a key with 201 and the key.
 *
 * @returns why no key was minted, or undefined once the answer is sent
 * @example
 * const refusal = mintKey(request, response, {matcher, router, once, origin});
 */
export function mintKey(
	request: IncomingMessage,
	response: ServerResponse,
	input: MintInput,
): CallRefusal | undefined {
	const service = request.url?.slice(keysPath.length) ?? '';
	if (request.method !== 'POST') {
		const detail = `use POST ${keysPath}SERVICE`;
		return {status: 405, title: 'Method Not Allowed', detail, reason: 'bad-request'};
	}

	const forbidden = findForbidden(input.matcher, input.origin, service);
	if (forbidden !== undefined) {
		return forbidden;
	}

	const member = pickMember(input.router, service);
	if (member === undefined || input.once === undefined) {
		const detail = `no server of service "${service}" takes calls`;
		return {status: 503, title: 'Service Unavailable', detail, reason: 'no-server'};
	}

	const key = input.once.createKey(service, findCallerName(input.origin), member.instanceId);
	response.writeHead(201, {'content-type': 'application/json', 'cache-control': 'no-store'});
	response.end(JSON.stringify({key, header: idempotencyKeyHeader}));
	return undefined;
}
