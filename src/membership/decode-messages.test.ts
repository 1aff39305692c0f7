/** Odd entries: one record out of range must neither be used nor hide the others. */
import test from 'ava';
import {decodeEndpoint, decodeGossipRequest, decodeGossipResponse} from './decode-messages.ts';
import {type Member} from './types.ts';

const member: Member = {
	server: 'catalogue-1',
	service: 'catalogue',
	dataCentre: 'est-a',
	region: 'est',
	address: '10.1.0.8',
	peerPort: 7800,
	instanceId: 'i-1',
	startedAtMs: 1,
	incarnation: 0,
	state: 'serving',
	policyVersion: 1,
};
const envelope = {from: member, policy: {version: 1, digest: 'd'}, deltas: [member]};
const oddFields: ReadonlyArray<Record<string, unknown>> = [
	{peerPort: 99_999},
	{peerPort: 0},
	{incarnation: Number.POSITIVE_INFINITY},
	{startedAtMs: 1e300},
	{state: 'odd'},
	{server: 'x'.repeat(100_000)},
	{service: [['nested']]},
];

test('odd records are left out of a message, and the others hold', t => {
	const deltas: unknown[] = oddFields.map(fields => ({...member, ...fields}));
	const request = decodeGossipRequest({...envelope, kind: 'ping', deltas: [...deltas, member]});
	t.deepEqual(request?.deltas, [member]);
	const withMore = decodeGossipRequest({
		...envelope,
		kind: 'ping',
		deltas: [{...member, more: 1}],
	});
	t.deepEqual(withMore?.deltas, [member]);
	const response = {...envelope, kind: 'members', buckets: [1], members: [...deltas, member]};
	const decoded = decodeGossipResponse(response);
	t.deepEqual(decoded?.kind === 'members' && decoded.members, [member]);
});

test('a message with an odd sender, target or kind is malformed', t => {
	for (const fields of oddFields) {
		const from = {...member, ...fields};
		t.is(decodeGossipRequest({...envelope, kind: 'ping', from}), undefined);
		t.is(decodeGossipRequest({...envelope, kind: 'probe', target: from}), undefined);
		t.is(decodeGossipResponse({...envelope, kind: 'ack', from}), undefined);
	}

	t.is(decodeGossipRequest({...envelope, kind: 'odd'}), undefined);
	t.is(decodeGossipResponse({...envelope, kind: 'members', buckets: 1, members: []}), undefined);
	t.not(decodeGossipRequest({...envelope, kind: 'ping'}), undefined);
});

test('an odd endpoint names no seed', t => {
	for (const text of [
		'no JSON',
		'[]',
		'null',
		'{"address":"10.1.0.8","peerPort":99999}',
		'{"address":"10.1.0.8","peerPort":1e999}',
		'{"address":7,"peerPort":7800}',
		'['.repeat(100_000),
	]) {
		t.is(decodeEndpoint(text), undefined);
	}

	t.deepEqual(decodeEndpoint('{"address":"10.1.0.8","peerPort":7800}'), {
		address: '10.1.0.8',
		peerPort: 7800,
	});
});
