/** Decodes gossip messages: a member record that can't be used is left out, and the others hold. */
import {type Endpoint, type GossipRequest, type GossipResponse} from './messages.ts';
import {type Member, memberStates} from './types.ts';

const maxNameLength = 400;
const maxPort = 65_535;
/** Latest time that counts as one: the end of the year 9999, in Unix milliseconds. */
const maxTimeMs = 253_402_300_799_999;
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

function listMembers(values: readonly unknown[]): Member[] {
	return values.filter((value): value is Member => isMember(value));
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
		isCount(value.startedAtMs) &&
		value.startedAtMs <= maxTimeMs &&
		isCount(value.incarnation) &&
		states.has(value.state) &&
		isCount(value.policyVersion)
	);
}

function isRecord(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null;
}

function isName(value: unknown): value is string {
	return typeof value === 'string' && value.length <= maxNameLength;
}

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isPort(value: unknown): value is number {
	return isCount(value) && value > 0 && value <= maxPort;
}

function isListOf(value: unknown, isValid: (each: unknown) => boolean): boolean {
	return Array.isArray(value) && value.every(each => isValid(each));
}
