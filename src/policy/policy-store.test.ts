import test from 'ava';
import {type ResultAsync} from 'neverthrow';
import {MemoryTable, type TableFault} from '../../bench/fakes/memory-table.ts';
import {verifyDigest} from './digest.ts';
import {type PolicyError} from './errors.ts';
import {PolicyStore} from './policy-store.ts';
import {type Policy, type PolicyInput} from './schema.ts';
import {validatePolicy} from './validate.ts';

function createPolicy(input: PolicyInput): Policy {
	return validatePolicy(input)._unsafeUnwrap();
}

function createStore(faults: TableFault[] = []) {
	const table = MemoryTable.create(operation =>
		operation === 'write' ? (faults.shift() ?? 'none') : 'none',
	);
	return {table, store: PolicyStore.create(table, {readTimeMs: () => 1000})};
}

async function unwrapOk<T>(result: ResultAsync<T, PolicyError>): Promise<T> {
	const settled = await result;
	return settled._unsafeUnwrap();
}

async function readOutcomeKind<T>(result: ResultAsync<T, PolicyError>): Promise<string> {
	const settled = await result;
	return settled.isOk() ? 'applied' : settled.error.kind;
}

const first = createPolicy({services: [{name: 'catalogue'}]});
const second = createPolicy({services: [{name: 'catalogue', slotsPerServer: 5}]});
const third = createPolicy({services: [{name: 'catalogue', slotsPerServer: 6}, {name: 'atelier'}]});

test('versions are consecutive, chained by digest and verified', async t => {
	const {store} = createStore();
	t.deepEqual(await unwrapOk(store.readHead()), {version: 0, digest: ''});
	const request = {document: first, baseVersion: 0, changeId: 'a', author: 'op'};
	const one = await unwrapOk(store.applyDocument(request));
	const two = await unwrapOk(
		store.applyDocument({document: second, baseVersion: 1, changeId: 'b', author: 'op'}),
	);
	t.deepEqual([one.version, two.version], [1, 2]);
	t.is(two.previousDigest, one.digest);
	t.deepEqual(await unwrapOk(store.listHistory()), [one, two]);
	t.true(verifyDigest(two));
	t.false(verifyDigest({...two, document: third}));
	t.false(verifyDigest({...two, previousDigest: ''}));
});

test('of two concurrent changes one is applied and the other gets the conflicting fields', async t => {
	const {store} = createStore();
	await store.applyDocument({document: first, baseVersion: 0, changeId: 'a', author: 'op'});
	const answers = await Promise.all([
		store.applyDocument({document: second, baseVersion: 1, changeId: 'b', author: 'op'}),
		store.applyDocument({document: third, baseVersion: 1, changeId: 'c', author: 'op'}),
	]);
	t.deepEqual(
		answers.map(answer => answer.isOk()),
		[true, false],
	);
	t.deepEqual(answers[1]._unsafeUnwrapErr().fault, {
		kind: 'conflict',
		baseVersion: 1,
		versionInForce: 2,
		fields: {
			mine: ['services[atelier]', 'services[catalogue].slotsPerServer'],
			inForce: ['services[catalogue].slotsPerServer'],
			overlapping: ['services[catalogue].slotsPerServer'],
		},
	});
});

const faultCases: Array<{faults: TableFault[]; expected: string}> = [
	{faults: ['lostAnswer'], expected: 'applied'},
	{faults: ['lostRequest'], expected: 'applied'},
	{faults: ['lostRequest', 'lostRequest', 'lostAnswer'], expected: 'applied'},
	{faults: ['lostRequest', 'lostRequest', 'lostRequest'], expected: 'outcomeUnknown'},
	{faults: ['lateEffect', 'unreachable'], expected: 'outcomeUnknown'},
	{faults: ['unreachable'], expected: 'unavailable'},
];
for (const {faults, expected} of faultCases) {
	test(`apply under ${faults.join(', ')} ends as ${expected}`, async t => {
		const {store, table} = createStore([...faults]);
		const request = {document: first, baseVersion: 0, changeId: 'a', author: 'op'};
		t.is(await readOutcomeKind(store.applyDocument(request)), expected);
		table.applyLateWrites();
		const again = await unwrapOk(store.applyDocument(request));
		t.is(again.version, 1);
		const history = await unwrapOk(store.listHistory());
		t.is(history.length, 1);
	});
}

test('a row that was modified in the table is reported as corrupt', async t => {
	const {store, table} = createStore();
	await store.applyDocument({document: first, baseVersion: 0, changeId: 'a', author: 'op'});
	const key = {partition: 'config', sort: 'version/0000000001'};
	const found = await table.get(key);
	const row = found._unsafeUnwrap()!;
	const body = row.body.replace('"slotsPerServer":100', '"slotsPerServer":900');
	await table.write({kind: 'put', row: {...row, body}, condition: {kind: 'none'}});
	t.is(await readOutcomeKind(store.readVersion(1)), 'corrupt');
	t.is(await readOutcomeKind(store.listHistory()), 'corrupt');
	t.is(await readOutcomeKind(store.readVersion(2)), 'missing');
	const builtIn = await unwrapOk(store.readVersion(0));
	t.is(builtIn.changeId, 'built-in');
});
