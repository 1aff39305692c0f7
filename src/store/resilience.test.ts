import test from 'ava';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {Circuit} from './circuit.ts';
import {PlatformError, type PlatformErrorKind} from './errors.ts';
import {defaultResilienceOptions, type ResilienceOptions} from './resilience.ts';
import {ResilientTable} from './resilient-table.ts';
import {type Table, type TableRow, type TableWrite} from './types.ts';

type Step = 'ok' | PlatformErrorKind | 'lostAfterEffect';

const row: TableRow = {partition: 'p', sort: 's', revision: 'r1', body: 'mine'};
const insert: TableWrite = {kind: 'put', row, condition: {kind: 'absent'}};

/** A table of one row that follows a script of write results. */
class ScriptedTable implements Table {
	static create(steps: readonly Step[], found?: TableRow): ScriptedTable {
		return new ScriptedTable([...steps], found);
	}

	writes = 0;
	reads = 0;

	private constructor(
		private readonly steps: Step[],
		private found: TableRow | undefined,
	) {}

	get(): ResultAsync<TableRow | undefined, PlatformError> {
		this.reads++;
		return okAsync(this.found);
	}

	write(write: TableWrite): ResultAsync<void, PlatformError> {
		this.writes++;
		const step = this.steps.shift() ?? 'ok';
		if ((step === 'ok' || step === 'lostAfterEffect') && write.kind === 'put') {
			this.found = write.row;
		}

		if (step === 'ok') {
			return okAsync(undefined);
		}

		const kind = step === 'lostAfterEffect' ? 'lostAnswer' : step;
		return errAsync(PlatformError.create(kind, 'PutItem', 'p/s', 'scripted'));
	}

	transact(): ResultAsync<void, PlatformError> {
		return this.write(insert);
	}

	query(): ResultAsync<readonly TableRow[], PlatformError> {
		return okAsync([]);
	}
}

/** Options with a clock that only moves while waiting. */
function createOptions(): ResilienceOptions {
	let nowMs = 0;
	return {
		...defaultResilienceOptions,
		readNowMs: () => nowMs,
		readRandom: () => 0.5,
		async wait(delayMs) {
			nowMs += delayMs;
		},
	};
}

/** Writes the row once through the wrapper and names the result. */
async function writeRow(inner: Table, write: TableWrite = insert): Promise<string> {
	const result = await ResilientTable.create(inner, createOptions()).write(write);
	return result.isOk() ? 'ok' : result.error.kind;
}

test('a conditional put whose answer was lost is settled by reading back', async t => {
	const table = ScriptedTable.create(['lostAfterEffect']);
	t.is(await writeRow(table), 'ok');
	t.is(table.writes, 1);
});

test('a conditional put that has not shown yet is written again', async t => {
	const table = ScriptedTable.create(['lostAnswer', 'ok']);
	t.is(await writeRow(table), 'ok');
	t.is(table.writes, 2);
});

test('a lost answer with a foreign row behind it stays undecided', async t => {
	const foreign = {...row, body: 'theirs'};
	t.is(await writeRow(ScriptedTable.create(['lostAnswer'], foreign)), 'lostAnswer');
	t.is(await writeRow(ScriptedTable.create(['conditionFailed'], foreign)), 'conditionFailed');
});

test('an unconditional write is not sent again after a lost answer', async t => {
	const table = ScriptedTable.create(['lostAnswer', 'ok']);
	t.is(await writeRow(table, {...insert, condition: {kind: 'none'}}), 'lostAnswer');
	t.is(table.writes, 1);
});

test('a write that was not sent is retried, up to its attempts', async t => {
	t.is(await writeRow(ScriptedTable.create(['unreachable', 'unreachable', 'ok'])), 'ok');
	const down = ScriptedTable.create(Array.from({length: 9}, () => 'unreachable' as const));
	t.is(await writeRow(down), 'unreachable');
	t.is(down.writes, defaultResilienceOptions.backoff.attempts);
});

test('an open circuit sends nothing, lets one probe through and closes again', t => {
	const circuit = Circuit.create({maxFailures: 2, openMs: 1000});
	circuit.recordFailure(0, 0.5);
	t.true(circuit.admit(0));
	circuit.recordFailure(0, 0.5);
	t.is(circuit.readState(), 'open');
	t.false(circuit.admit(999));
	t.true(circuit.admit(1000));
	t.false(circuit.admit(1000), 'one probe at a time');
	circuit.recordFailure(1000, 0.5);
	t.false(circuit.admit(1999));
	t.true(circuit.admit(2000));
	circuit.recordSuccess();
	t.true(circuit.admit(2000));
});

test('a refusal by the service is an answer and keeps the circuit closed', async t => {
	const table = ResilientTable.create(
		ScriptedTable.create(Array.from({length: 20}, () => 'rejected' as const)),
		createOptions(),
	);
	for (let index = 0; index < 20; index++) {
		await table.write(insert);
	}

	t.is(table.resilience.readCircuitState(), 'closed');
	t.deepEqual(table.resilience.readUsage(), {reads: 0, writes: 20, failures: 0, refused: 0});
});
