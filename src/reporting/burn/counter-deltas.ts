/**
 * Computes the number of calls between two readings from the differences of the daemons' counters.
 */
import {
	type BurnRow,
	type CounterReading,
	type CounterSample,
	type CallCountRow,
	type CoverageRow,
} from './types.ts';

/** Interval between two readings above which it counts as not covered by data. */
export const maxReadingGapMs = 300_000;

/** Age after which the last sample of a daemon that no longer answers is dropped. */
const maxSampleAgeMs = 40 * 86_400_000;

/** State of the collection: time of the last reading and the last sample of each counter. */
export type CollectionState = {
	readonly lastReadingMs: number | undefined;
	readonly samples: readonly CounterSample[];
};

export const emptyCollectionState: CollectionState = {lastReadingMs: undefined, samples: []};

/** Rows computed from one reading and the state after it. */
export type ReadingResult = {readonly rows: readonly BurnRow[]; readonly state: CollectionState};

/** Formats the identity of a sample's counter. A restarted daemon has new counters. */
function formatCounterKey(sample: CounterSample): string {
	return JSON.stringify([sample.server, sample.instanceId, sample.service, sample.caller]);
}

function createSampleMap(samples: readonly CounterSample[]): Map<string, CounterSample> {
	return new Map(samples.map(sample => [formatCounterKey(sample), sample]));
}

/** Creates a sample of zero at the daemon's start, for a counter that was not read before. */
function createZeroSample(sample: CounterSample): CounterSample {
	return {...sample, atMs: Math.min(sample.startedAtMs, sample.atMs), total: 0, good: 0};
}

function createCallCountRow(before: CounterSample, after: CounterSample): CallCountRow {
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

/** Adds a row to the row of the same service, caller and interval, which sums the daemons' calls. */
function addRow(rows: Map<string, CallCountRow>, row: CallCountRow): void {
	const key = JSON.stringify([row.service, row.caller, row.fromMs, row.toMs]);
	const sum = rows.get(key);
	rows.set(
		key,
		sum === undefined ? row : {...sum, total: sum.total + row.total, good: sum.good + row.good},
	);
}

function createCoverageRows(lastMs: number | undefined, reading: CounterReading): CoverageRow[] {
	const {atMs, known, answered} = reading;
	const isCovered = lastMs !== undefined && atMs > lastMs && atMs - lastMs <= maxReadingGapMs;
	const coveredShare = known === 0 ? 0 : answered / known;
	return isCovered ? [{kind: 'reading', fromMs: lastMs, toMs: atMs, coveredShare}] : [];
}

/** Drops samples of replaced instances and samples older than the maximum age. */
function pruneSamples(
	samples: Iterable<CounterSample>,
	reading: CounterReading,
): readonly CounterSample[] {
	const instanceIds = new Map(reading.samples.map(sample => [sample.server, sample.instanceId]));
	const kept: CounterSample[] = [];
	for (const sample of samples) {
		const instanceId = instanceIds.get(sample.server) ?? sample.instanceId;
		if (instanceId === sample.instanceId && reading.atMs - sample.atMs <= maxSampleAgeMs) {
			kept.push(sample);
		}
	}

	return kept;
}

/**
 * Computes the number of calls that ended since the last sample of each counter.
 *
 * Counters start at zero when their daemon starts, so the first reading after a restart includes all
 * calls since the start, and a reading after missed readings includes the calls in between. A sample
 * that is not later (the clock was set back) or that is lower than the last one is ignored.
 *
 * @example
 * const {rows, state} = applyReading(emptyCollectionState, reading);
 */
export function applyReading(before: CollectionState, reading: CounterReading): ReadingResult {
	const last = createSampleMap(before.samples);
	const rows = new Map<string, CallCountRow>();
	for (const sample of reading.samples) {
		const key = formatCounterKey(sample);
		const previous = last.get(key) ?? createZeroSample(sample);
		if (sample.atMs <= previous.atMs || sample.total < previous.total) {
			continue;
		}

		last.set(key, sample);
		if (sample.total > previous.total) {
			addRow(rows, createCallCountRow(previous, sample));
		}
	}

	return {
		rows: [...createCoverageRows(before.lastReadingMs, reading), ...rows.values()],
		state: {
			lastReadingMs: Math.max(reading.atMs, before.lastReadingMs ?? reading.atMs),
			samples: pruneSamples(last.values(), reading),
		},
	};
}
