/**
 * Merges the rows of an hour, so that reports over long windows read fewer rows.
 */
import {type BurnRow, type CallCountRow, type CoverageRow} from './types.ts';

/** Merges adjacent and overlapping coverage rows; their covered shares are weighted by duration. */
function mergeCoverageRows(coverageRows: readonly CoverageRow[]): readonly CoverageRow[] {
	const merged: CoverageRow[] = [];
	for (const row of coverageRows.toSorted((a, b) => a.fromMs - b.fromMs)) {
		const last = merged.at(-1);
		if (last === undefined || row.fromMs > last.toMs) {
			merged.push(row);
			continue;
		}

		const lastMs = last.toMs - last.fromMs;
		const rowMs = row.toMs - row.fromMs;
		const coveredMs = last.coveredShare * lastMs + row.coveredShare * rowMs;
		merged[merged.length - 1] = {
			kind: 'reading',
			fromMs: last.fromMs,
			toMs: Math.max(last.toMs, row.toMs),
			coveredShare: coveredMs / (lastMs + rowMs),
		};
	}

	return merged;
}

function mergeCallCountRows(earlier: CallCountRow, later: CallCountRow): CallCountRow {
	return {
		...earlier,
		fromMs: Math.min(earlier.fromMs, later.fromMs),
		toMs: Math.max(earlier.toMs, later.toMs),
		total: earlier.total + later.total,
		good: earlier.good + later.good,
	};
}

/**
 * Merges the resolved call count rows of each service and caller into one row. Unresolved rows stay
 * unchanged, and intervals without readings stay uncovered.
 *
 * @example
 * const hourRows = mergeRows(minuteRows);
 */
export function mergeRows(rows: readonly BurnRow[]): readonly BurnRow[] {
	const unresolved: CallCountRow[] = [];
	const coverageRows: CoverageRow[] = [];
	const counts = new Map<string, CallCountRow>();
	for (const row of rows) {
		if (row.kind === 'reading') {
			coverageRows.push(row);
			continue;
		}

		if (!row.isResolved) {
			unresolved.push(row);
			continue;
		}

		const key = JSON.stringify([row.service, row.caller]);
		const earlier = counts.get(key);
		counts.set(key, earlier === undefined ? row : mergeCallCountRows(earlier, row));
	}

	return [...mergeCoverageRows(coverageRows), ...counts.values(), ...unresolved];
}
