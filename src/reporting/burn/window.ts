/**
 * Counts the calls of a time window and computes its burn rate.
 */
import {type BurnRow, type WindowBurn, type WindowCounts} from './types.ts';

/** Least share of a window that must be covered before it counts as read. */
const minCoveredShare = 0.01;

type Span = {readonly fromMs: number; readonly toMs: number};

/** Computes how many milliseconds of a row lie within a window. */
function computeOverlapMs(row: Span, window: Span): number {
	return Math.max(0, Math.min(row.toMs, window.toMs) - Math.max(row.fromMs, window.fromMs));
}

/**
 * Counts the calls that ended within a window.
 *
 * A resolved row across the window's edge counts in proportion. An unresolved one says nothing about any
 * part of it: its calls count only when it lies wholly within.
 *
 * @param rows - rows of the readings, and of the service and caller in question
 * @example
 * const counts = countWindow(rows, {fromMs: nowMs - 3_600_000, toMs: nowMs});
 */
export function countWindow(rows: readonly BurnRow[], window: Span): WindowCounts {
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

	return coveredShare < minCoveredShare ? {kind: 'gap'} : {kind: 'idle', coveredShare};
}

/**
 * Computes the burn rate of a window.
 *
 * @param target - share of calls that must be good, below 1
 * @example
 * const burn = computeWindowBurn(rows, {fromMs, toMs}, 0.999);
 */
export function computeWindowBurn(
	rows: readonly BurnRow[],
	window: Span,
	target: number,
): WindowBurn {
	const counts = countWindow(rows, window);
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
