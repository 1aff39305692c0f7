/** Decodes gossip messages: a member record that can't be used is left out, and the others hold. */
import {isCount, isName, isPort, isRecord, isTimeMs} from '../decoding/value-checks.ts';
import {type Endpoint, type GossipRequest, type GossipResponse} from './messages.ts';
import {type Member, memberStates} from './types.ts';

const requestKinds: ReadonlySet<unknown> = new Set(['ping', 'probe', 'push', 'sync']);
const responseKinds: ReadonlySet<unknown> = new Set(['ack', 'probed', 'members']);
const states: ReadonlySet<unknown> = new Set(Object.values(memberStates));

type Fields = Readonly<Record<string, unknown>>;

/**
 * Decodes a gossip request.
 *
 * @returns undefined when the request or its sender is malformed
 * @example
 * const request = decodeGossipRequest(input);
 */
export function decodeGossipRequest(value: unknown): GossipRequest | undefined {
	if (!isEnvelope(value) || !requestKinds.has(value.kind)) {
		return undefined;
	}

	const isInvalid =
		(value.kind === 'probe' && !isMember(value.target)) ||
		(value.kind === 'sync' && !isListOf(value.digests, isCount));
	return isInvalid
		? undefined
		: ({...value, deltas: listMembers(value.deltas)} as unknown as GossipRequest);
}

/**
 * Decodes the response to a gossip request.
 *
 * @returns undefined when the response or its sender is malformed
 */
export function decodeGossipResponse(value: unknown): GossipResponse | undefined {
	if (!isEnvelope(value) || !responseKinds.has(value.kind)) {
		return undefined;
	}

	const deltas = listMembers(value.deltas);
	if (value.kind !== 'members') {
		return {...value, deltas} as unknown as GossipResponse;
	}

	const {members, buckets} = value;
	return Array.isArray(members) && isListOf(buckets, isCount)
		? ({...value, deltas, members: listMembers(members)} as unknown as GossipResponse)
		: undefined;
}

/**
 * Decodes an endpoint.
 *
 * @returns undefined when the text holds none
 * @example
 * decodeEndpoint('{"address":"10.1.0.8","peerPort":7800}');
 */
export function decodeEndpoint(text: string): Endpoint | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return undefined;
	}

	if (!isRecord(value) || !isName(value.address) || !isPort(value.peerPort)) {
		return undefined;
	}

	return {address: value.address, peerPort: value.peerPort};
}

function isEnvelope(value: unknown): value is Fields & {deltas: readonly unknown[]} {
	return (
		isRecord(value) &&
		isMember(value.from) &&
		isRecord(value.policy) &&
		isCount(value.policy.version) &&
		typeof value.policy.digest === 'string' &&
		Array.isArray(value.deltas)
	);
}

/** Lists the valid records, with their known fields only. */
function listMembers(values: readonly unknown[]): Member[] {
	const members: Member[] = [];
	for (const value of values) {
		if (isMember(value)) {
			members.push(createCopy(value));
		}
	}

	return members;
}

function createCopy(member: Member): Member {
	const {server, service, dataCentre, region, address, peerPort} = member;
	const {instanceId, startedAtMs, incarnation, state, policyVersion} = member;
	const place = {server, service, dataCentre, region, address, peerPort};
	return {...place, instanceId, startedAtMs, incarnation, state, policyVersion};
}

function isMember(value: unknown): value is Member {
	return (
		isRecord(value) &&
		isName(value.server) &&
		isName(value.service) &&
		isName(value.dataCentre) &&
		isName(value.region) &&
		isName(value.address) &&
		isPort(value.peerPort) &&
		isName(value.instanceId) &&
		isTimeMs(value.startedAtMs) &&
		isCount(value.incarnation) &&
		states.has(value.state) &&
		isCount(value.policyVersion)
	);
}

function isListOf(value: unknown, isValid: (each: unknown) => boolean): boolean {
	return Array.isArray(value) && value.every(each => isValid(each));
}
