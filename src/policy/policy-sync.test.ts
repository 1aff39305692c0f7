import test from 'ava';
import fc from 'fast-check';
import {builtInVersion} from './built-in.ts';
import {computeDigest} from './digest.ts';
import {PolicySync, type PolicySource, type PolicySyncEvent} from './policy-sync.ts';
import {type PolicyVersion} from './types.ts';
import {validatePolicy} from './validate.ts';

const table: PolicySource = {kind: 'table'};
const peer: PolicySource = {kind: 'peer', address: '10.0.0.1', peerPort: 1};

function createHistory(length: number): PolicyVersion[] {
	const history: PolicyVersion[] = [];
	let previousDigest = '';
	for (let version = 1; version <= length; version++) {
		const changeId = `change-${version}`;
		const document = validatePolicy({
			services: [{name: 'catalogue', slotsPerServer: version}],
		})._unsafeUnwrap();
		const digest = computeDigest({version, changeId, previousDigest, document});
		history.push({
			version,
			changeId,
			previousDigest,
			document,
			digest,
			author: 'op',
			appliedAtMs: version,
		});
		previousDigest = digest;
	}

	return history;
}

const history = createHistory(6);

function handleAll(sync: PolicySync, events: readonly PolicySyncEvent[]): string[] {
	return events.flatMap(event => sync.handle(event, 100).map(action => action.kind));
}

test('a starting daemon adopts the head version of the table before it serves', t => {
	const sync = PolicySync.create(builtInVersion, 0);
	const third = history[2]!;
	t.deepEqual(handleAll(sync, [{kind: 'tick', isPoller: false}]), ['readHead']);
	t.deepEqual(handleAll(sync, [{kind: 'headRead', head: third}]), ['fetch']);
	t.deepEqual(handleAll(sync, [{kind: 'fetched', version: third, source: table}]), [
		'adopt',
		'ready',
	]);
	t.is(sync.inForce.version, 3);
});

test('a starting daemon asks the peers if the table fails, and serves under version 0 if both fail', t => {
	const sync = PolicySync.create(builtInVersion, 0);
	t.deepEqual(
		handleAll(sync, [{kind: 'tick', isPoller: false}, {kind: 'headFailed'}, {kind: 'headFailed'}]),
		['readHead', 'askPeers'],
	);
	t.deepEqual(handleAll(sync, [{kind: 'heard', head: history[1]!, source: peer}]), ['fetch']);
	t.deepEqual(handleAll(sync, [{kind: 'peersAsked'}]), []);
	t.deepEqual(handleAll(sync, [{kind: 'fetched', version: history[1]!, source: peer}]), [
		'adopt',
		'ready',
	]);
	const isolated = PolicySync.create(builtInVersion, 0);
	t.deepEqual(
		handleAll(isolated, [
			{kind: 'tick', isPoller: true},
			{kind: 'headFailed'},
			{kind: 'peersAsked'},
		]),
		['readHead', 'askPeers', 'ready'],
	);
	t.is(isolated.inForce.version, 0);
});

test('the version is fetched from the table after a fetch from a peer timed out', t => {
	const sync = PolicySync.create(builtInVersion, 0);
	sync.handle({kind: 'heard', head: history[1]!, source: peer}, 100);
	const actions = sync.handle({kind: 'tick', isPoller: false}, 100);
	t.deepEqual(
		actions.map(action => action.kind),
		['readHead'],
	);
	const later = sync.handle({kind: 'tick', isPoller: false}, 4000);
	t.deepEqual(
		later.filter(action => action.kind === 'fetch'),
		[{kind: 'fetch', version: 2, source: table}],
	);
});

test('a document that does not match its own digest or the announced one is rejected', t => {
	const sync = PolicySync.create(builtInVersion, 0);
	const [first, second] = history as [PolicyVersion, PolicyVersion];
	const forged = {...first, document: second.document};
	sync.handle({kind: 'heard', head: first, source: peer}, 100);
	const kinds = handleAll(sync, [
		{kind: 'fetched', version: forged, source: peer},
		{kind: 'fetched', version: {...first, digest: second.digest}, source: peer},
	]);
	t.deepEqual(kinds, ['disagreement', 'disagreement']);
	t.is(sync.inForce.version, 0);
	handleAll(sync, [{kind: 'fetched', version: first, source: peer}]);
	t.deepEqual(handleAll(sync, [{kind: 'heard', head: {version: 1, digest: 'x'}, source: peer}]), [
		'disagreement',
	]);
});

test('for any order of events the version in force never decreases and ends at the highest fetched', t => {
	const versionArbitrary = fc.integer({min: 0, max: history.length - 1});
	const sourceArbitrary = fc.constantFrom(table, peer);
	const eventArbitrary: fc.Arbitrary<PolicySyncEvent> = fc.oneof(
		fc.boolean().map(isPoller => ({kind: 'tick' as const, isPoller})),
		versionArbitrary.map(index => ({kind: 'headRead' as const, head: history[index]!})),
		fc.constant({kind: 'headFailed' as const}),
		fc
			.tuple(versionArbitrary, sourceArbitrary)
			.map(([index, source]) => ({kind: 'heard' as const, head: history[index]!, source})),
		fc
			.tuple(versionArbitrary, sourceArbitrary)
			.map(([index, source]) => ({kind: 'fetched' as const, version: history[index]!, source})),
		sourceArbitrary.map(source => ({kind: 'fetchFailed' as const, source})),
	);
	fc.assert(
		fc.property(fc.array(eventArbitrary, {maxLength: 40}), events => {
			const sync = PolicySync.create(builtInVersion, 0);
			let highest = 0;
			for (const [index, event] of events.entries()) {
				const before = sync.inForce.version;
				sync.handle(event, index * 100);
				// Oracle: the highest version fetched so far.
				highest = event.kind === 'fetched' ? Math.max(highest, event.version.version) : highest;
				t.true(sync.inForce.version >= before);
				t.is(sync.inForce.version, highest);
			}
		}),
		{seed: 5, numRuns: 400},
	);
});
