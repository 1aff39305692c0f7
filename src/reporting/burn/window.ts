/**
 * Counts the calls of a time window and computes its burn rate.
 */
import {type CountInterval, type WindowBurn, type WindowCounts} from './types.ts';

/** Readings further apart leave the time between them uncovered. */
export const maxReadingGapMs = 300_000;

/** Least share of a window that must be covered before it counts as measured. */
const minCoveredShare = 0.01;

type Span = {readonly fromMs: number; readonly toMs: number};

/** Computes the part of an interval that lies within a window; undefined when none does. */
function computeOverlap(interval: Span, window: Span): Span | undefined {
	const fromMs = Math.max(interval.fromMs, window.fromMs);
	const toMs = Math.min(interval.toMs, window.toMs);
	return toMs > fromMs ? {fromMs, toMs} : undefined;
}

/** Computes the length of the union of spans. */
function computeCoveredMs(spans: Span[]): number {
	spans.sort((a, b) => a.fromMs - b.fromMs);
	let coveredMs = 0;
	let endMs = Number.NEGATIVE_INFINITY;
	for (const span of spans) {
		if (span.toMs <= endMs) {
			continue;
		}

		coveredMs += span.toMs - Math.max(span.fromMs, endMs);
		endMs = span.toMs;
	}

	return coveredMs;
}

/**
 * Counts the calls that ended within a window.
 *
 * An interval across the window's edge counts in proportion. One longer than `maxReadingGapMs` says nothing
 * about any part of it: its calls count only when it lies wholly within, and its time stays uncovered.
 *
 * @param intervals - intervals of the service and caller in question
 * @example
 * const counts = countWindow(intervals, {fromMs: nowMs - 3_600_000, toMs: nowMs});
 */
export function countWindow(intervals: readonly CountInterval[], window: Span): WindowCounts {
	const covered: Span[] = [];
	let total = 0;
	let good = 0;
	for (const interval of intervals) {
		const overlap = computeOverlap(interval, window);
		if (overlap === undefined) {
			continue;
		}

		const lengthMs = interval.toMs - interval.fromMs;
		const share = (overlap.toMs - overlap.fromMs) / lengthMs;
		if (lengthMs > maxReadingGapMs && share < 1) {
			continue;
		}

		total += interval.total * share;
		good += interval.good * share;
		if (lengthMs <= maxReadingGapMs) {
			covered.push(overlap);
		}
	}

	const coveredShare = computeCoveredMs(covered) / (window.toMs - window.fromMs);
	if (total > 0) {
		return {kind: 'measured', total, good, coveredShare};
	}

	return coveredShare < minCoveredShare ? {kind: 'gap'} : {kind: 'idle', coveredShare};
}

/**
 * Computes the burn rate of a window that ends at `toMs`.
 *
 * @param target - share of calls that must be good, below 1
 * @example
 * const burn = computeWindowBurn(intervals, {fromMs, toMs}, 0.999);
 */
export function computeWindowBurn(
	intervals: readonly CountInterval[],
	window: Span,
	target: number,
): WindowBurn {
	const counts = countWindow(intervals, window);
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
