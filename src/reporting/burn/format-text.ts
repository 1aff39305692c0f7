/**
 * Formats a burn report as text for a terminal.
 */
import {
	type BudgetReport,
	type BurnReport,
	type ObjectiveReport,
	type PairReport,
	type PairState,
	type WindowBurn,
} from './types.ts';

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/** Covered share below which the coverage of a window is printed. */
const minFullCoverageShare = 0.95;

/**
 * Formats a fraction as a percentage.
 *
 * @example
 * formatPercentage(0.125); // '12.5 %'
 */
export function formatPercentage(share: number): string {
	return `${(share * 100).toFixed(1)} %`;
}

/**
 * Formats a duration in the largest of days, hours and minutes that divides it.
 *
 * @example
 * formatDuration(300_000); // '5m'
 */
export function formatDuration(windowMs: number): string {
	if (windowMs % dayMs === 0) {
		return `${windowMs / dayMs}d`;
	}

	return windowMs % hourMs === 0 ? `${windowMs / hourMs}h` : `${windowMs / minuteMs}m`;
}

/**
 * Formats the burn of one window. States when there is no data, no call or incomplete coverage.
 *
 * @example
 * formatWindowBurn(pair.long); // '1h 2.50x'
 */
export function formatWindowBurn(burn: WindowBurn): string {
	const name = formatDuration(burn.windowMs);
	switch (burn.counts.kind) {
		case 'gap': {
			return `${name} no data`;
		}

		case 'idle': {
			return `${name} no calls`;
		}

		case 'measured': {
			const {coveredShare} = burn.counts;
			const covered =
				coveredShare < minFullCoverageShare ? ` (${Math.floor(coveredShare * 100)} % covered)` : '';
			return `${name} ${(burn.burnRate ?? 0).toFixed(2)}x${covered}`;
		}
	}
}

/**
 * Formats the remaining error budget.
 *
 * @example
 * formatBudget(objective.budget); // '87.0 % left (13 of 100000 failed, 99.0 % of the time covered)'
 */
export function formatBudget(budget: BudgetReport): string {
	switch (budget.kind) {
		case 'gap': {
			return 'no data';
		}

		case 'measured': {
			const failed = `${Math.round(budget.failed)} of ${Math.round(budget.total)} failed`;
			const covered = `${formatPercentage(budget.coveredShare)} of the time covered`;
			return `${formatPercentage(budget.leftShare)} left (${failed}, ${covered})`;
		}
	}
}

/**
 * Formats the state of a pair of windows.
 *
 * @example
 * formatPairState({kind: 'gap'}, 'page'); // 'no data'
 */
export function formatPairState(state: PairState, severity: string): string {
	switch (state.kind) {
		case 'firing': {
			return `FIRING (${severity})`;
		}

		case 'quiet': {
			return 'ok';
		}

		case 'gap': {
			return 'no data';
		}

		case 'partial': {
			return 'too little data';
		}

		case 'unsuited': {
			return 'window too long for this objective';
		}
	}
}

function formatPair(pair: PairReport): string {
	const windows = `${formatWindowBurn(pair.short)}, ${formatWindowBurn(pair.long)}`;
	const state = formatPairState(pair.state, pair.severity);
	return `  ${pair.name.padEnd(6)} ${windows.padEnd(44)} over ${pair.threshold.toFixed(1)}x  ${state}`;
}

function formatObjective(objective: ObjectiveReport): string {
	const target = `${(objective.target * 100).toFixed(3)} % in ${objective.windowDays} days`;
	const lines = [
		`${objective.service}, caller ${objective.caller}: ${target}`,
		`  budget ${formatBudget(objective.budget)}`,
		...objective.pairs.map(pair => formatPair(pair)),
	];
	return lines.join('\n');
}

/**
 * Formats a burn report as text.
 *
 * @example
 * process.stdout.write(formatBurnText(report));
 */
export function formatBurnText(report: BurnReport): string {
	const head = `Service-level burn at ${new Date(report.atMs).toISOString()}, policy version ${report.policyVersion}`;
	if (report.objectives.length === 0) {
		return `${head}\n\nThe policy has no objectives; add some under "objectives" and apply it.\n`;
	}

	return `${head}\n\n${report.objectives.map(objective => formatObjective(objective)).join('\n\n')}\n`;
}
