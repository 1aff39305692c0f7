/**
 * Merges the rows of an hour, so that long windows read little.
 */
import {type BurnRow, type CountRow, type ReadingRow} from './types.ts';

/** Merges readings that follow one another; their covered shares are weighed with their time. */
function mergeReadings(readings: readonly ReadingRow[]): readonly ReadingRow[] {
	const merged: ReadingRow[] = [];
	for (const reading of readings.toSorted((a, b) => a.fromMs - b.fromMs)) {
		const last = merged.at(-1);
		if (last === undefined || reading.fromMs > last.toMs) {
			merged.push(reading);
			continue;
		}

		const lastMs = last.toMs - last.fromMs;
		const readingMs = reading.toMs - reading.fromMs;
		const coveredMs = last.coveredShare * lastMs + reading.coveredShare * readingMs;
		merged[merged.length - 1] = {
			kind: 'reading',
			fromMs: last.fromMs,
			toMs: Math.max(last.toMs, reading.toMs),
			coveredShare: coveredMs / (lastMs + readingMs),
		};
	}

	return merged;
}

function mergeCounts(earlier: CountRow, later: CountRow): CountRow {
	return {
		...earlier,
		fromMs: Math.min(earlier.fromMs, later.fromMs),
		toMs: Math.max(earlier.toMs, later.toMs),
		total: earlier.total + later.total,
		good: earlier.good + later.good,
	};
}

/**
 * Merges the resolved rows of each service and caller into one. Unresolved rows stay as they are, and
 * times without readings stay uncovered.
 *
 * @example
 * const hourRows = mergeRows(minuteRows);
 */
export function mergeRows(rows: readonly BurnRow[]): readonly BurnRow[] {
	const unresolved: CountRow[] = [];
	const readings: ReadingRow[] = [];
	const counts = new Map<string, CountRow>();
	for (const row of rows) {
		if (row.kind === 'reading') {
			readings.push(row);
			continue;
		}

		if (!row.isResolved) {
			unresolved.push(row);
			continue;
		}

		const key = JSON.stringify([row.service, row.caller]);
		const known = counts.get(key);
		counts.set(key, known === undefined ? row : mergeCounts(known, row));
	}

	return [...mergeReadings(readings), ...counts.values(), ...unresolved];
}
