import {Buffer} from 'node:buffer';
import test from 'ava';
import {type ResultAsync} from 'neverthrow';
import {
	defaultStandInOptions,
	PlatformStandIn,
} from '../../stand-ins/platform/platform-stand-in.ts';
import {createPlatformClients, type PlatformClients} from './platform-clients.ts';
import {type PlatformError, type PlatformErrorKind} from './errors.ts';
import {type TableRow, type TableWrite} from './types.ts';

type Fixture = {readonly standIn: PlatformStandIn; readonly clients: PlatformClients};

/** Returns the value of an operation that must succeed. */
async function readValue<Value>(result: ResultAsync<Value, PlatformError>): Promise<Value> {
	const settled = await result;
	return settled._unsafeUnwrap();
}

/** Returns the error kind of an operation that must fail. */
async function readFailure(
	result: ResultAsync<unknown, PlatformError>,
): Promise<PlatformErrorKind> {
	const settled = await result;
	return settled._unsafeUnwrapErr().kind;
}

/** Runs a check against a new platform stand-in. */
async function runWithPlatform(check: (fixture: Fixture) => Promise<void>): Promise<void> {
	const standIn = PlatformStandIn.create();
	const url = await standIn.listen(0);
	const clients = createPlatformClients({
		...defaultStandInOptions,
		tableUrl: url,
		objectsUrl: url,
		awsRegion: 'qc-est',
		timeoutMs: 5000,
	});
	try {
		await check({standIn, clients});
	} finally {
		await clients.close();
		await standIn.close();
	}
}

const row: TableRow = {
	partition: 'once/é (1)',
	sort: "k'/ *1",
	revision: 'r1',
	body: '{"a": "ü"}',
	expiresAtSeconds: 1_900_000_000,
};
const insert: TableWrite = {kind: 'put', row, condition: {kind: 'absent'}};

test('put, get, conditional replace and delete of a row', async t => {
	await runWithPlatform(async ({clients: {table}}) => {
		await readValue(table.write(insert));
		t.deepEqual(await readValue(table.get(row)), row);

		const secondInsert = await table.write(insert);
		t.is(secondInsert._unsafeUnwrapErr().kind, 'conditionFailed');

		const next = {...row, revision: 'r2', body: '2'};
		const stale: TableWrite = {
			kind: 'put',
			row: next,
			condition: {kind: 'revision', revision: 'r0'},
		};
		t.is(await readFailure(table.write(stale)), 'conditionFailed');
		const condition = {kind: 'revision', revision: 'r1'} as const;
		await readValue(table.write({kind: 'put', row: next, condition}));
		const replaced = await readValue(table.get(row));
		t.is(replaced?.body, '2');

		const remove: TableWrite = {kind: 'delete', key: row, condition};
		t.is(await readFailure(table.write(remove)), 'conditionFailed');
		await readValue(table.write({kind: 'delete', key: row, condition: {kind: 'none'}}));
		t.is(await readValue(table.get(row)), undefined);
	});
});

test('a transaction applies all writes or none', async t => {
	await runWithPlatform(async ({clients: {table}}) => {
		const other = {...row, sort: 'other'};
		const both: TableWrite[] = [insert, {...insert, row: other}];
		await readValue(table.transact(both));
		const third = {...row, sort: 'third'};
		const failed = await table.transact([{...insert, row: third}, insert]);
		t.is(failed._unsafeUnwrapErr().kind, 'conditionFailed');
		t.is(await readValue(table.get(third)), undefined);
		t.truthy(await readValue(table.get(other)));
	});
});

test('a query returns the rows of all pages, by prefix and in order', async t => {
	await runWithPlatform(async ({clients: {table}}) => {
		for (let index = 0; index < 1100; index += 100) {
			const writes: TableWrite[] = [];
			for (let offset = 0; offset < 100; offset++) {
				const sort = `v${String(index + offset).padStart(5, '0')}`;
				writes.push({...insert, row: {...row, sort}});
			}

			await readValue(table.transact(writes));
		}

		const all = await readValue(table.query(row.partition, ''));
		t.is(all.length, 1100);
		t.is(all.at(-1)?.sort, 'v01099');
		const some = await readValue(table.query(row.partition, 'v0000'));
		t.is(some.length, 10);
	});
});

test('put, get and list of an object keep its key and bytes', async t => {
	await runWithPlatform(async ({clients: {objects}}) => {
		const body = Buffer.from([0, 255, 13, 10, 128]);
		const key = "answers/é +&<(1)'*/x";
		await readValue(objects.put(key, body, 'application/octet-stream'));
		const stored = await readValue(objects.get(key));
		t.deepEqual(Buffer.from(stored ?? []), body);
		t.is(await readValue(objects.get('answers/none')), undefined);
		t.deepEqual(await readValue(objects.list('answers/')), [key]);
		t.deepEqual(await readValue(objects.list('other/')), []);
	});
});

test('each injected fault is reported as a lost answer, whether or not the write took effect', async t => {
	await runWithPlatform(async ({clients: {table}, standIn}) => {
		const expectedEffects = {fail: false, loseAnswer: true, cut: false} as const;
		for (const [kind, hasEffect] of Object.entries(expectedEffects)) {
			const target = {...row, sort: kind};
			standIn.setFaults({kind: kind as keyof typeof expectedEffects});
			const failed = await table.write({...insert, row: target});
			t.is(failed._unsafeUnwrapErr().kind, 'lostAnswer');
			standIn.setFaults({kind: 'none'});
			t.is((await readValue(table.get(target))) !== undefined, hasEffect);
		}

		t.deepEqual(standIn.readFaultCounts(), {fail: 1, loseAnswer: 1, cut: 1});
	});
});

test('a write that takes effect late is reported as a lost answer and is visible afterwards', async t => {
	await runWithPlatform(async ({clients: {table}, standIn}) => {
		standIn.setFaults({kind: 'lateEffect', delayMs: 0, operations: ['PutItem']});
		t.is(await readFailure(table.write(insert)), 'lostAnswer');
		let found: TableRow | undefined;
		while (found === undefined) {
			found = await readValue(table.get(row));
		}

		t.deepEqual(found, row);
	});
});

test('a wrong secret is rejected and a closed port is unreachable', async t => {
	const standIn = PlatformStandIn.create();
	const url = await standIn.listen(0);
	const settings = {
		...defaultStandInOptions,
		secretAccessKey: 'wrong',
		tableUrl: url,
		objectsUrl: url,
		awsRegion: 'qc-est',
		timeoutMs: 5000,
	};
	const clients = createPlatformClients(settings);
	t.is(await readFailure(clients.table.write(insert)), 'rejected');
	const put = await clients.objects.put('a', Buffer.from('b'), 'text/plain');
	t.is(put._unsafeUnwrapErr().kind, 'rejected');
	await clients.close();
	await standIn.close();

	const clientsAfterStop = createPlatformClients(settings);
	t.is(await readFailure(clientsAfterStop.table.write(insert)), 'unreachable');
	await clientsAfterStop.close();
});
