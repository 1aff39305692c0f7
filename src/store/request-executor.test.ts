import test from 'ava';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {CircuitBreaker} from './circuit-breaker.ts';
import {PlatformError, type PlatformErrorKind} from './errors.ts';
import {defaultRequestExecutorOptions, type RequestExecutorOptions} from './request-executor.ts';
import {ResilientTable} from './resilient-table.ts';
import {type Table, type TableRow, type TableWrite} from './types.ts';

type WriteResult = 'ok' | PlatformErrorKind | 'lostAfterEffect';

const row: TableRow = {partition: 'p', sort: 's', revision: 'r1', body: 'mine'};
const insert: TableWrite = {kind: 'put', row, condition: {kind: 'absent'}};

/** Table with one row whose writes give scripted results. */
class ScriptedTable implements Table {
	static create(results: readonly WriteResult[], found?: TableRow): ScriptedTable {
		return new ScriptedTable([...results], found);
	}

	writes = 0;
	reads = 0;

	private constructor(
		private readonly results: WriteResult[],
		private found: TableRow | undefined,
	) {}

	get(): ResultAsync<TableRow | undefined, PlatformError> {
		this.reads++;
		return okAsync(this.found);
	}

	write(write: TableWrite): ResultAsync<void, PlatformError> {
		this.writes++;
		const result = this.results.shift() ?? 'ok';
		if ((result === 'ok' || result === 'lostAfterEffect') && write.kind === 'put') {
			this.found = write.row;
		}

		if (result === 'ok') {
			return okAsync(undefined);
		}

		const kind = result === 'lostAfterEffect' ? 'lostAnswer' : result;
		return errAsync(PlatformError.create(kind, 'PutItem', 'p/s', 'scripted'));
	}

	transact(): ResultAsync<void, PlatformError> {
		return this.write(insert);
	}

	query(): ResultAsync<readonly TableRow[], PlatformError> {
		return okAsync([]);
	}
}

/** Returns options with a clock that advances only in waits. */
function createOptions(): RequestExecutorOptions {
	let nowMs = 0;
	return {
		...defaultRequestExecutorOptions,
		readNowMs: () => nowMs,
		readRandom: () => 0.5,
		async wait(delayMs) {
			nowMs += delayMs;
		},
	};
}

/** Writes the row through a ResilientTable; returns "ok" or the error kind. */
async function writeRow(inner: Table, write: TableWrite = insert): Promise<string> {
	const result = await ResilientTable.create(inner, createOptions()).write(write);
	return result.isOk() ? 'ok' : result.error.kind;
}

test('a conditional put with a lost response succeeds when the row read back is the written one', async t => {
	const table = ScriptedTable.create(['lostAfterEffect']);
	t.is(await writeRow(table), 'ok');
	t.is(table.writes, 1);
});

test('a conditional put with a lost response is retried when the row read back does not show it', async t => {
	const table = ScriptedTable.create(['lostAnswer', 'ok']);
	t.is(await writeRow(table), 'ok');
	t.is(table.writes, 2);
});

test("a conditional put with a lost response fails when another writer's row is stored", async t => {
	const otherRow = {...row, body: 'theirs'};
	t.is(await writeRow(ScriptedTable.create(['lostAnswer'], otherRow)), 'lostAnswer');
	t.is(await writeRow(ScriptedTable.create(['conditionFailed'], otherRow)), 'conditionFailed');
});

test('an unconditional write is not retried after a lost response', async t => {
	const table = ScriptedTable.create(['lostAnswer', 'ok']);
	t.is(await writeRow(table, {...insert, condition: {kind: 'none'}}), 'lostAnswer');
	t.is(table.writes, 1);
});

test('a write that was not sent is retried up to the maximum number of attempts', async t => {
	t.is(await writeRow(ScriptedTable.create(['unreachable', 'unreachable', 'ok'])), 'ok');
	const down = ScriptedTable.create(Array.from({length: 9}, () => 'unreachable' as const));
	t.is(await writeRow(down), 'unreachable');
	t.is(down.writes, defaultRequestExecutorOptions.backoff.maxAttempts);
});

test('an open circuit rejects requests, admits one probe at a time and closes after a success', t => {
	const circuitBreaker = CircuitBreaker.create({failureThreshold: 2, openDurationMs: 1000});
	circuitBreaker.recordFailure(0, 0.5);
	t.true(circuitBreaker.tryAdmit(0));
	circuitBreaker.recordFailure(0, 0.5);
	t.is(circuitBreaker.readState(), 'open');
	t.false(circuitBreaker.tryAdmit(999));
	t.true(circuitBreaker.tryAdmit(1000));
	t.false(circuitBreaker.tryAdmit(1000), 'one probe at a time');
	circuitBreaker.recordFailure(1000, 0.5);
	t.false(circuitBreaker.tryAdmit(1999));
	t.true(circuitBreaker.tryAdmit(2000));
	circuitBreaker.recordSuccess();
	t.true(circuitBreaker.tryAdmit(2000));
});

test('an error response of the service keeps the circuit closed', async t => {
	const table = ResilientTable.create(
		ScriptedTable.create(Array.from({length: 20}, () => 'rejected' as const)),
		createOptions(),
	);
	for (let index = 0; index < 20; index++) {
		await table.write(insert);
	}

	t.is(table.executor.readCircuitState(), 'closed');
	t.deepEqual(table.executor.readUsage(), {reads: 0, writes: 20, failures: 0, refused: 0});
});
