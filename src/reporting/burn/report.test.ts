import test from 'ava';
import {objectiveSchema} from '../../policy/schema.ts';
import {formatBurnText} from './format-text.ts';
import {renderBurnPlot} from './plot.ts';
import {renderBurnPage} from './render-page.ts';
import {computeBurnReport} from './report.ts';
import {applyReading, emptyCollectionState} from './counter-deltas.ts';
import {mergeRows} from './merge-rows.ts';
import {decodeRows, encodeRows} from './row-codec.ts';
import {type BurnRow, type CounterSample, type ObjectiveReport} from './types.ts';

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const nowMs = Date.UTC(2026, 0, 10, 12);
const startedAtMs = nowMs - 10 * hourMs;
const objective = objectiveSchema.parse({service: 'commandes', target: 0.99});

/** Readings each minute from `fromMs` to `toMs`: 100 calls a minute, `failed` of them bad. */
function createSamples(fromMs: number, toMs: number, failed: number): CounterSample[] {
	const samples: CounterSample[] = [];
	for (let atMs = fromMs; atMs <= toMs; atMs += minuteMs) {
		const minutes = (atMs - startedAtMs) / minuteMs;
		samples.push({
			atMs,
			server: 'commandes-1',
			instanceId: `run-${failed}`,
			startedAtMs,
			service: 'commandes',
			caller: 'retailer',
			total: 100 * minutes,
			good: (100 - failed) * minutes,
		});
	}

	return samples;
}

/** Applies samples in their order, each as a reading of one daemon. */
function collectRows(samples: readonly CounterSample[]): readonly BurnRow[] {
	const rows: BurnRow[] = [];
	let state = emptyCollectionState;
	for (const sample of samples) {
		const result = applyReading(state, {
			atMs: sample.atMs,
			known: 1,
			answered: 1,
			samples: [sample],
		});
		rows.push(...result.rows);
		state = result.state;
	}

	return rows;
}

function computeObjectiveFromRows(rows: readonly BurnRow[]): ObjectiveReport {
	const report = computeBurnReport({objectives: [objective], policyVersion: 3, rows, nowMs});
	return report.objectives[0]!;
}

function computeObjective(samples: readonly CounterSample[]): ObjectiveReport {
	return computeObjectiveFromRows(collectRows(samples));
}

function listStates(report: ObjectiveReport): string[] {
	return report.pairs.map(pair => pair.state.kind);
}

test('a steady failure share gives its burn rate in every window', t => {
	const report = computeObjective(createSamples(startedAtMs, nowMs, 8));
	for (const pair of report.pairs) {
		t.is(pair.short.burnRate?.toFixed(6), '8.000000');
		t.is(pair.long.burnRate?.toFixed(6), '8.000000');
	}

	t.deepEqual(listStates(report), ['quiet', 'firing', 'firing']);
	t.is(report.budget.kind === 'measured' && Math.round(report.budget.leftShare * 100), -700);
});

test('a window without readings is a gap, neither good nor quiet', t => {
	const report = computeObjective(createSamples(startedAtMs, nowMs - 2 * hourMs, 0));
	t.deepEqual(listStates(report), ['gap', 'gap', 'partial']);
	t.is(report.pairs[0]!.short.burnRate, undefined);
	t.deepEqual(
		report.hours.slice(-4).map(hour => hour.burn.counts.kind),
		['measured', 'gap', 'gap', 'gap'],
	);
	t.is(computeObjective([]).budget.kind, 'gap');
});

test('calls across a gap count for the budget and for no part of the gap', t => {
	const before = createSamples(startedAtMs, startedAtMs + hourMs, 10);
	const after = createSamples(nowMs - hourMs, nowMs, 10);
	const report = computeObjective([...before, ...after]);
	t.is(report.budget.kind === 'measured' && report.budget.total, 60_000);
	t.is(report.hours.at(-5)!.burn.counts.kind, 'gap');
});

test('a restarted daemon counts from zero and no call is lost or negative', t => {
	const first = createSamples(startedAtMs, nowMs - hourMs, 0);
	const second = createSamples(nowMs - 30 * minuteMs, nowMs, 100).map(sample => ({
		...sample,
		startedAtMs: nowMs - 30 * minuteMs,
		total: sample.total - 57_000,
		good: 0,
	}));
	const report = computeObjective([...first, ...second]);
	t.is(report.budget.kind === 'measured' && report.budget.total, 57_000);
	t.is(report.budget.kind === 'measured' && report.budget.failed, 3000);
});

test('encoded rows decode to the same rows, and the error for a malformed line names it', t => {
	const rows = collectRows(createSamples(startedAtMs, startedAtMs + 2 * minuteMs, 1));
	t.deepEqual(decodeRows(encodeRows(rows))._unsafeUnwrap(), rows);
	const malformed = decodeRows(`${encodeRows(rows.slice(0, 2))}{"kind":"calls"}\n`);
	t.regex(malformed._unsafeUnwrapErr().message, /line 3 is malformed/v);
});

test('merged rows give the same results for long windows', t => {
	const before = createSamples(startedAtMs, nowMs - 6 * hourMs, 8);
	const after = createSamples(nowMs - 3 * hourMs, nowMs, 8);
	const rows = collectRows([...before, ...after]);
	const merged: BurnRow[] = [];
	for (let fromMs = startedAtMs; fromMs < nowMs; fromMs += hourMs) {
		merged.push(...mergeRows(rows.filter(row => row.toMs > fromMs && row.toMs <= fromMs + hourMs)));
	}

	t.true(merged.length <= 20, `${merged.length} rows`);
	const whole = computeObjectiveFromRows(rows);
	const shortened = computeObjectiveFromRows(merged);
	t.deepEqual(
		shortened.hours.map(({burn}) => burn.counts.kind),
		whole.hours.map(({burn}) => burn.counts.kind),
	);
	t.is(shortened.pairs[2]!.long.burnRate, whole.pairs[2]!.long.burnRate);
	t.deepEqual(shortened.budget, whole.budget);
});

test('daemons that did not answer lower the covered share', t => {
	const [first, second] = createSamples(nowMs - minuteMs, nowMs, 0);
	const known = 4;
	const start = applyReading(emptyCollectionState, {
		atMs: first!.atMs,
		known,
		answered: 4,
		samples: [first!],
	});
	const next = applyReading(start.state, {atMs: nowMs, known, answered: 1, samples: [second!]});
	t.like(next.rows[0], {kind: 'reading', coveredShare: 0.25});
});

test('the calls of a daemon that missed a reading count once when it answers again', t => {
	const [a1, a2, a3] = createSamples(nowMs - 2 * minuteMs, nowMs, 0);
	const known = 1;
	const one = applyReading(emptyCollectionState, {
		atMs: a1!.atMs,
		known,
		answered: 1,
		samples: [a1!],
	});
	const two = applyReading(one.state, {atMs: a2!.atMs, known, answered: 0, samples: []});
	const three = applyReading(two.state, {atMs: a3!.atMs, known, answered: 1, samples: [a3!]});
	const calls = three.rows.find(row => row.kind === 'calls');
	t.like(calls, {fromMs: a1!.atMs, toMs: nowMs, total: 200});
});

test('text and page state missing data, and the page loads no other resources', async t => {
	const hostile = {...objective, caller: '<script>alert(1)</script>'};
	const report = computeBurnReport({objectives: [hostile], policyVersion: 3, rows: [], nowMs});
	t.regex(formatBurnText(report), /budget no data/v);
	const page = await renderBurnPage(report);
	t.true(page.includes('<svg'));
	t.true(page.includes('&lt;script&gt;'));
	t.notRegex(page, /<script|<link|(?:src|href)=/iv);
});

test('the plot breaks its line at a gap', async t => {
	const whole = computeObjective(createSamples(startedAtMs, nowMs, 8));
	const before = createSamples(startedAtMs, nowMs - 6 * hourMs, 8);
	const after = createSamples(nowMs - 3 * hourMs, nowMs, 8);
	const broken = computeObjective([...before, ...after]);
	const countMoves = (svg: string) => {
		const line =
			/<path aria-label="[^"]*" role="graphics-symbol" aria-roledescription="line mark" d="(?<path>[^"]*)"/v.exec(
				svg,
			);
		return line?.groups?.path?.split('M').length ?? 0;
	};

	t.is(countMoves(await renderBurnPlot(whole)), 2);
	t.is(countMoves(await renderBurnPlot(broken)), 3);
});
