import test from 'ava';
import fc from 'fast-check';
import {builtInVersion} from './built-in.ts';
import {computeDigest} from './digest.ts';
import {PolicySpread, type PolicySource, type SpreadEvent} from './spread.ts';
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

function handleAll(spread: PolicySpread, events: readonly SpreadEvent[]): string[] {
	return events.flatMap(event => spread.handle(event, 100).map(action => action.kind));
}

test('a start takes the highest of the table before it serves', t => {
	const spread = PolicySpread.create(builtInVersion, 0);
	const third = history[2]!;
	t.deepEqual(handleAll(spread, [{kind: 'tick', isPoller: false}]), ['readHead']);
	t.deepEqual(handleAll(spread, [{kind: 'headRead', head: third}]), ['fetch']);
	t.deepEqual(handleAll(spread, [{kind: 'fetched', version: third, source: table}]), [
		'adopt',
		'ready',
	]);
	t.is(spread.inForce.version, 3);
});

test('a start without the table asks the peers, and without either serves under version 0', t => {
	const spread = PolicySpread.create(builtInVersion, 0);
	t.deepEqual(
		handleAll(spread, [
			{kind: 'tick', isPoller: false},
			{kind: 'headFailed'},
			{kind: 'headFailed'},
		]),
		['readHead', 'askPeers'],
	);
	t.deepEqual(handleAll(spread, [{kind: 'heard', head: history[1]!, source: peer}]), ['fetch']);
	t.deepEqual(handleAll(spread, [{kind: 'peersAsked'}]), []);
	t.deepEqual(handleAll(spread, [{kind: 'fetched', version: history[1]!, source: peer}]), [
		'adopt',
		'ready',
	]);
	const lonely = PolicySpread.create(builtInVersion, 0);
	t.deepEqual(
		handleAll(lonely, [{kind: 'tick', isPoller: true}, {kind: 'headFailed'}, {kind: 'peersAsked'}]),
		['readHead', 'askPeers', 'ready'],
	);
	t.is(lonely.inForce.version, 0);
});

test('a source that never answers gives way to the table', t => {
	const spread = PolicySpread.create(builtInVersion, 0);
	spread.handle({kind: 'heard', head: history[1]!, source: peer}, 100);
	const actions = spread.handle({kind: 'tick', isPoller: false}, 100);
	t.deepEqual(
		actions.map(action => action.kind),
		['readHead'],
	);
	const later = spread.handle({kind: 'tick', isPoller: false}, 4000);
	t.deepEqual(
		later.filter(action => action.kind === 'fetch'),
		[{kind: 'fetch', version: 2, source: table}],
	);
});

test('a document that does not fit its digest, or not the one heard of, is refused', t => {
	const spread = PolicySpread.create(builtInVersion, 0);
	const [first, second] = history as [PolicyVersion, PolicyVersion];
	const forged = {...first, document: second.document};
	spread.handle({kind: 'heard', head: first, source: peer}, 100);
	const kinds = handleAll(spread, [
		{kind: 'fetched', version: forged, source: peer},
		{kind: 'fetched', version: {...first, digest: second.digest}, source: peer},
	]);
	t.deepEqual(kinds, ['disagreement', 'disagreement']);
	t.is(spread.inForce.version, 0);
	handleAll(spread, [{kind: 'fetched', version: first, source: peer}]);
	t.deepEqual(handleAll(spread, [{kind: 'heard', head: {version: 1, digest: 'x'}, source: peer}]), [
		'disagreement',
	]);
});

test('whatever comes in whatever order, the version in force only rises and ends at the highest', t => {
	const versionArbitrary = fc.integer({min: 0, max: history.length - 1});
	const sourceArbitrary = fc.constantFrom(table, peer);
	const eventArbitrary: fc.Arbitrary<SpreadEvent> = fc.oneof(
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
			const spread = PolicySpread.create(builtInVersion, 0);
			let highest = 0;
			for (const [index, event] of events.entries()) {
				const before = spread.inForce.version;
				spread.handle(event, index * 100);
				// The oracle: the highest version that was ever fetched whole.
				highest = event.kind === 'fetched' ? Math.max(highest, event.version.version) : highest;
				t.true(spread.inForce.version >= before);
				t.is(spread.inForce.version, highest);
			}
		}),
		{seed: 5, numRuns: 400},
	);
});
