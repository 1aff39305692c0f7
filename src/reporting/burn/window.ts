/**
 * Counts the calls in a time window and computes its burn rate.
 */
import {type BurnRow, type WindowBurn, type WindowCounts} from './types.ts';

/** Covered share below which a window without calls is a gap rather than idle. */
const minIdleCoveredShare = 0.01;

type TimeRange = {readonly fromMs: number; readonly toMs: number};

/** Computes the overlap of a row and a window in milliseconds. */
function computeOverlapMs(row: TimeRange, window: TimeRange): number {
	return Math.max(0, Math.min(row.toMs, window.toMs) - Math.max(row.fromMs, window.fromMs));
}

/**
 * Counts the calls that ended within a window.
 *
 * A resolved row that crosses an edge of the window counts in proportion to the overlap. An unresolved row
 * does not show when in its interval the calls ended, so it counts only if it lies entirely in the window.
 *
 * @param rows - all coverage rows, and the call count rows of one service and caller
 * @example
 * const counts = countCallsInWindow(rows, {fromMs: nowMs - 3_600_000, toMs: nowMs});
 */
export function countCallsInWindow(rows: readonly BurnRow[], window: TimeRange): WindowCounts {
	let coveredMs = 0;
	let total = 0;
	let good = 0;
	for (const row of rows) {
		const overlapMs = computeOverlapMs(row, window);
		if (overlapMs === 0) {
			continue;
		}

		if (row.kind === 'reading') {
			coveredMs += overlapMs * row.coveredShare;
			continue;
		}

		const share = overlapMs / (row.toMs - row.fromMs);
		if (row.isResolved || share === 1) {
			total += row.total * share;
			good += row.good * share;
		}
	}

	const coveredShare = coveredMs / (window.toMs - window.fromMs);
	if (total > 0) {
		return {kind: 'measured', total, good, coveredShare};
	}

	return coveredShare < minIdleCoveredShare ? {kind: 'gap'} : {kind: 'idle', coveredShare};
}

/**
 * Computes the burn rate of a window.
 *
 * @param target - fraction of calls that must be good, below 1
 * @example
 * const burn = computeWindowBurn(rows, {fromMs, toMs}, 0.999);
 */
export function computeWindowBurn(
	rows: readonly BurnRow[],
	window: TimeRange,
	target: number,
): WindowBurn {
	const counts = countCallsInWindow(rows, window);
	const windowMs = window.toMs - window.fromMs;
	switch (counts.kind) {
		case 'gap':
		case 'idle': {
			return {windowMs, counts};
		}

		case 'measured': {
			const failedShare = (counts.total - counts.good) / counts.total;
			return {windowMs, counts, burnRate: failedShare / (1 - target)};
		}
	}
}
