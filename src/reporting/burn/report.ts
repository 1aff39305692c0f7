/**
 * Computes the burn report: multi-window, multi-burn-rate alerts and the remaining error budget.
 */
import {type Objective} from '../../policy/schema.ts';
import {
	type BudgetReport,
	type BurnReport,
	type BurnRow,
	type HourBurn,
	type ObjectiveReport,
	type PairReport,
	type PairState,
	type Severity,
	type WindowBurn,
} from './types.ts';
import {computeWindowBurn, countCallsInWindow} from './window.ts';

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/** Covered share that both windows of a pair need for the state `quiet`. */
const minQuietCoveredShare = 0.5;

/** Number of hours that the plot shows. */
const plotHourCount = 72;

type WindowPair = {
	readonly name: string;
	readonly severity: Severity;
	readonly shortMs: number;
	readonly longMs: number;
	/** Fraction of the error budget that is spent in the long window at the threshold. */
	readonly budgetShare: number;
};

/** Pairs of chapter 5 of The Site Reliability Workbook. */
const windowPairs: readonly WindowPair[] = [
	{name: 'fast', severity: 'page', shortMs: 5 * minuteMs, longMs: hourMs, budgetShare: 0.02},
	{
		name: 'slow',
		severity: 'page',
		shortMs: 30 * minuteMs,
		longMs: 6 * hourMs,
		budgetShare: 0.05,
	},
	{name: 'trend', severity: 'ticket', shortMs: 6 * hourMs, longMs: 3 * dayMs, budgetShare: 0.1},
];

/** Returns whether enough of a window is covered by data for the state `quiet`. */
function hasEnoughData({counts}: WindowBurn): boolean {
	return counts.kind !== 'gap' && counts.coveredShare >= minQuietCoveredShare;
}

/** Computes the state of a pair, which fires when both windows exceed the threshold. */
function computePairState(short: WindowBurn, long: WindowBurn, threshold: number): PairState {
	if (short.counts.kind === 'gap' || long.counts.kind === 'gap') {
		return {kind: 'gap'};
	}

	if ((short.burnRate ?? 0) > threshold && (long.burnRate ?? 0) > threshold) {
		return {kind: 'firing'};
	}

	return {kind: hasEnoughData(short) && hasEnoughData(long) ? 'quiet' : 'partial'};
}

function computePair(
	pair: WindowPair,
	objective: Objective,
	rows: readonly BurnRow[],
	nowMs: number,
): PairReport {
	const objectiveMs = objective.windowDays * dayMs;
	const threshold = (pair.budgetShare * objectiveMs) / pair.longMs;
	const short = computeWindowBurn(
		rows,
		{fromMs: nowMs - pair.shortMs, toMs: nowMs},
		objective.target,
	);
	const long = computeWindowBurn(
		rows,
		{fromMs: nowMs - pair.longMs, toMs: nowMs},
		objective.target,
	);
	const state: PairState =
		pair.longMs > objectiveMs ? {kind: 'unsuited'} : computePairState(short, long, threshold);
	return {name: pair.name, severity: pair.severity, threshold, short, long, state};
}

function computeBudget(
	objective: Objective,
	rows: readonly BurnRow[],
	nowMs: number,
): BudgetReport {
	const window = {fromMs: nowMs - objective.windowDays * dayMs, toMs: nowMs};
	const counts = countCallsInWindow(rows, window);
	switch (counts.kind) {
		case 'gap': {
			return {kind: 'gap'};
		}

		case 'idle': {
			const {coveredShare} = counts;
			return {kind: 'measured', total: 0, failed: 0, leftShare: 1, coveredShare};
		}

		case 'measured': {
			const {total, good, coveredShare} = counts;
			const failed = total - good;
			const leftShare = 1 - failed / (total * (1 - objective.target));
			return {kind: 'measured', total, failed, leftShare, coveredShare};
		}
	}
}

/** Computes the burn of each clock hour up to the current one, the oldest first. */
function computeHours(
	objective: Objective,
	rows: readonly BurnRow[],
	nowMs: number,
): readonly HourBurn[] {
	const lastHourMs = Math.floor(nowMs / hourMs) * hourMs;
	const hours: HourBurn[] = [];
	for (let index = plotHourCount - 1; index >= 0; index--) {
		const hourStartMs = lastHourMs - index * hourMs;
		const window = {fromMs: hourStartMs, toMs: hourStartMs + hourMs};
		hours.push({hourStartMs, burn: computeWindowBurn(rows, window, objective.target)});
	}

	return hours;
}

/** Returns whether a row counts for an objective. Coverage rows count for every objective. */
function isRowRelevant(row: BurnRow, {service, caller}: Objective): boolean {
	switch (row.kind) {
		case 'reading': {
			return true;
		}

		case 'calls': {
			return row.service === service && (caller === '*' || row.caller === caller);
		}
	}
}

function computeObjective(
	objective: Objective,
	rows: readonly BurnRow[],
	nowMs: number,
): ObjectiveReport {
	const relevantRows = rows.filter(row => isRowRelevant(row, objective));
	return {
		service: objective.service,
		caller: objective.caller,
		target: objective.target,
		windowDays: objective.windowDays,
		budget: computeBudget(objective, relevantRows, nowMs),
		pairs: windowPairs.map(pair => computePair(pair, objective, relevantRows, nowMs)),
		hours: computeHours(objective, relevantRows, nowMs),
	};
}

export type BurnReportInput = {
	readonly objectives: readonly Objective[];
	readonly policyVersion: number;
	readonly rows: readonly BurnRow[];
	/** Unix time in milliseconds at which the windows end. */
	readonly nowMs: number;
};

/**
 * Computes the burn report of each objective. A window without readings is a gap and never counts as good.
 *
 * @example
 * const report = computeBurnReport({objectives: policy.objectives, policyVersion: 4, rows, nowMs: Date.now()});
 */
export function computeBurnReport(input: BurnReportInput): BurnReport {
	const {rows} = input;
	return {
		atMs: input.nowMs,
		policyVersion: input.policyVersion,
		objectives: input.objectives.map(objective => computeObjective(objective, rows, input.nowMs)),
	};
}
