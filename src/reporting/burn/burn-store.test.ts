import test from 'ava';
import {startPlatform} from '../../../stand-ins/platform/start-platform.ts';
import {BurnStore} from './burn-store.ts';
import {type BurnRow, type CounterReading} from './types.ts';

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const startMs = Date.UTC(2026, 0, 10);

/** A reading of one daemon with 10 calls a minute, one of them bad. */
function createReading(minute: number): CounterReading {
	const atMs = startMs + minute * minuteMs;
	const sample = {
		atMs,
		server: 'commandes-1',
		instanceId: 'i-1',
		startedAtMs: startMs,
		service: 'commandes',
		caller: 'retailer',
		total: 10 * minute,
		good: 9 * minute,
	};
	return {atMs, known: 1, answered: 1, samples: [sample]};
}

function sumRows(rows: readonly BurnRow[]) {
	let total = 0;
	let good = 0;
	let coveredMs = 0;
	for (const row of rows) {
		if (row.kind === 'calls') {
			total += row.total;
			good += row.good;
			continue;
		}

		coveredMs += (row.toMs - row.fromMs) * row.coveredShare;
	}

	return {total, good, coveredMinutes: coveredMs / minuteMs, rowCount: rows.length};
}

test('closed hours are merged except for the last ones, and no call is counted twice', async t => {
	const {clients, close} = await startPlatform();
	t.teardown(close);
	const store = BurnStore.create(clients.objects, 'collector');
	const lastMinute = 12 * 60 + 30;
	for (let minute = 5; minute <= lastMinute; minute += 5) {
		const stored = await store.addReading(createReading(minute));
		t.true(stored.isOk());
	}

	const rows = await store.readRowsSince(startMs, createReading(lastMinute + 5));
	const {rowCount, ...sums} = sumRows(rows._unsafeUnwrap());
	const total = 10 * (lastMinute + 5);
	t.deepEqual(sums, {total, good: total * 0.9, coveredMinutes: lastMinute});
	// Four merged hours of 2 rows, and for the rest 2 rows for each of 12 readings an hour.
	t.true(rowCount < 8 + 9 * 24, `${rowCount} rows`);
	const recent = await store.readRowsSince(startMs + 11 * hourMs);
	t.is(sumRows(recent._unsafeUnwrap()).total, 10 * (lastMinute - 11 * 60 + 5));
});

test('the calls of a reading that failed to be stored, or whose response was lost, count once in the next', async t => {
	const {standIn, clients, close} = await startPlatform();
	t.teardown(close);
	const store = BurnStore.create(clients.objects, 'collector');
	await store.addReading(createReading(1));
	for (const [index, kind] of (['fail', 'loseAnswer', 'cut'] as const).entries()) {
		standIn.setFaults({kind, operations: ['PutObject']});
		const failed = await store.addReading(createReading(58 + index * 2));
		t.true(failed.isErr(), `${kind}`);
		standIn.setFaults({kind: 'none'});
		const stored = await store.addReading(createReading(59 + index * 2));
		t.true(stored.isOk(), `after ${kind}`);
	}

	const rows = await store.readRowsSince(startMs);
	t.is(sumRows(rows._unsafeUnwrap()).total, 630);
});
