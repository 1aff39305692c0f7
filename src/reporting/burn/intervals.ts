/**
 * Turns readings of counters into the calls between them.
 */
import {
	type BurnRow,
	type CounterReading,
	type CounterSample,
	type CountRow,
	type ReadingRow,
} from './types.ts';

/** Readings further apart leave the time between them uncovered. */
export const maxReadingGapMs = 300_000;

/** Last samples of daemons that were not read for longer are dropped. */
const maxSampleAgeMs = 40 * 86_400_000;

/** Where the collection stands: the last reading's time and the last sample of each counter. */
export type CollectionState = {
	readonly lastReadingMs: number | undefined;
	readonly samples: readonly CounterSample[];
};

export const emptyState: CollectionState = {lastReadingMs: undefined, samples: []};

/** Rows of one reading and the state after it. */
export type CollectionStep = {readonly rows: readonly BurnRow[]; readonly state: CollectionState};

/** Names the counter that a sample was read from; a restart makes a new counter. */
function formatCounterKey(sample: CounterSample): string {
	return JSON.stringify([sample.server, sample.instanceId, sample.service, sample.caller]);
}

function createSampleMap(samples: readonly CounterSample[]): Map<string, CounterSample> {
	return new Map(samples.map(sample => [formatCounterKey(sample), sample]));
}

/** Counter of zero at the daemon's start, for a counter that was not read before. */
function createStartSample(sample: CounterSample): CounterSample {
	return {...sample, atMs: Math.min(sample.startedAtMs, sample.atMs), total: 0, good: 0};
}

function createCountRow(before: CounterSample, after: CounterSample): CountRow {
	return {
		kind: 'calls',
		fromMs: before.atMs,
		toMs: after.atMs,
		service: after.service,
		caller: after.caller,
		total: after.total - before.total,
		good: Math.max(0, after.good - before.good),
		isResolved: after.atMs - before.atMs <= maxReadingGapMs,
	};
}

/** Adds a row to the one of the same service, caller and time, so that daemons are summed. */
function addRow(rows: Map<string, CountRow>, row: CountRow): void {
	const key = JSON.stringify([row.service, row.caller, row.fromMs, row.toMs]);
	const known = rows.get(key);
	rows.set(
		key,
		known === undefined
			? row
			: {...known, total: known.total + row.total, good: known.good + row.good},
	);
}

function createReadingRows(lastMs: number | undefined, reading: CounterReading): ReadingRow[] {
	const {atMs, known, answered} = reading;
	const isCovered = lastMs !== undefined && atMs > lastMs && atMs - lastMs <= maxReadingGapMs;
	const coveredShare = known === 0 ? 0 : answered / known;
	return isCovered ? [{kind: 'reading', fromMs: lastMs, toMs: atMs, coveredShare}] : [];
}

/** Drops samples of instances that were replaced, and of servers that are long gone. */
function pruneSamples(
	samples: Iterable<CounterSample>,
	reading: CounterReading,
): readonly CounterSample[] {
	const instances = new Map(reading.samples.map(sample => [sample.server, sample.instanceId]));
	const kept: CounterSample[] = [];
	for (const sample of samples) {
		const instanceId = instances.get(sample.server) ?? sample.instanceId;
		if (instanceId === sample.instanceId && reading.atMs - sample.atMs <= maxSampleAgeMs) {
			kept.push(sample);
		}
	}

	return kept;
}

/**
 * Computes the calls that ended since each counter was read last.
 *
 * A counter counts from zero at its daemon's start, so the first reading after a restart loses no calls,
 * and one after a silence counts the calls of the silence. Readings that fall (a clock set back) are
 * left out.
 *
 * @example
 * const {rows, state} = computeStep(emptyState, reading);
 */
export function computeStep(before: CollectionState, reading: CounterReading): CollectionStep {
	const last = createSampleMap(before.samples);
	const rows = new Map<string, CountRow>();
	for (const sample of reading.samples) {
		const key = formatCounterKey(sample);
		const previous = last.get(key) ?? createStartSample(sample);
		if (sample.atMs <= previous.atMs || sample.total < previous.total) {
			continue;
		}

		last.set(key, sample);
		if (sample.total > previous.total) {
			addRow(rows, createCountRow(previous, sample));
		}
	}

	return {
		rows: [...createReadingRows(before.lastReadingMs, reading), ...rows.values()],
		state: {
			lastReadingMs: Math.max(reading.atMs, before.lastReadingMs ?? reading.atMs),
			samples: pruneSamples(last.values(), reading),
		},
	};
}
