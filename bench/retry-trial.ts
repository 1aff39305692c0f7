/**
 * Deterministic trial of the lend policies: calls through a chain of services in which attempts are
 * refused, or their answers lost, at random.
 *
 * Prints one row per case and policy. Run: `npx tsx bench/retry-trial.ts [seed]`.
 */
import process from 'node:process';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {CallAllowance} from '../src/retry/allowance.ts';
import {type LendPolicy} from '../src/retry/lend-policy.ts';

type ChainCase = {
	readonly name: string;
	readonly depth: number;
	/** Number of child calls that each call makes, one after the other. */
	readonly children: number;
	/** Share of attempts that are refused and certainly have not run. */
	readonly refusedShare: number;
	/** Share of attempts that run and whose answer is lost. */
	readonly lostShare: number;
};

type TrialSetup = {readonly chain: ChainCase; readonly policy: LendPolicy | 'perHop'};
type Totals = {retries: number; runs: number};
type CallResult = {readonly isGood: boolean; readonly unspent: number};

const grantedRetries = 3;
const callCount = 20_000;

const cases: readonly ChainCase[] = [
	{name: 'refused-5%', depth: 4, children: 1, refusedShare: 0.05, lostShare: 0},
	{name: 'lost-5%', depth: 4, children: 1, refusedShare: 0, lostShare: 0.05},
	{name: 'both-5%-8-deep', depth: 8, children: 1, refusedShare: 0.05, lostShare: 0.05},
	{name: 'both-5%-two-children', depth: 3, children: 2, refusedShare: 0.05, lostShare: 0.05},
	{name: 'lost-50%', depth: 4, children: 1, refusedShare: 0, lostShare: 0.5},
];

const policies: Readonly<Record<string, LendPolicy | 'perHop'>> = {
	all: {kind: 'all'},
	half: {kind: 'half'},
	'reserve-1': {kind: 'reserve', kept: 1},
	'share-0.5': {kind: 'share', share: 0.5},
	'per-hop-3': 'perHop',
};

const generator = xoroshiro128plus(Number(process.argv[2] ?? '1'));
const drawUniform = (): number => uniformFloat64(generator);

/** Runs one call with its child calls and their retries. */
function runCall(setup: TrialSetup, depth: number, loan: number, totals: Totals): CallResult {
	const {chain, policy} = setup;
	totals.runs++;
	const allowance = CallAllowance.create(loan, policy === 'perHop' ? {kind: 'all'} : policy);
	const children = depth === 0 ? 0 : chain.children;
	for (let child = 0; child < children; child++) {
		if (!runChild(setup, depth - 1, allowance, totals)) {
			return {isGood: false, unspent: allowance.close()};
		}
	}

	return {isGood: true, unspent: allowance.close()};
}

/**
 * Runs one child call with its retries.
 *
 * @returns whether an attempt was answered
 */
function runChild(
	setup: TrialSetup,
	depth: number,
	allowance: CallAllowance,
	totals: Totals,
): boolean {
	const {chain, policy} = setup;
	const isPerHop = policy === 'perHop';
	for (let attempt = 0; ; attempt++) {
		const id = `${allowance.spent}-${allowance.available}-${attempt}-${totals.runs}`;
		const loan = isPerHop ? 0 : allowance.lend(id);
		const outcomeDraw = drawUniform();
		let isGood = false;
		if (outcomeDraw < chain.refusedShare) {
			returnLoan(allowance, id, isPerHop ? undefined : loan);
		} else {
			const result = runCall(setup, depth, loan, totals);
			const isLost = outcomeDraw < chain.refusedShare + chain.lostShare;
			isGood = result.isGood && !isLost;
			returnLoan(allowance, id, isPerHop ? undefined : isLost ? 0 : result.unspent);
		}

		if (isGood) {
			return true;
		}

		if (isPerHop ? attempt >= grantedRetries : !allowance.trySpend()) {
			return false;
		}

		totals.retries++;
	}
}

function returnLoan(allowance: CallAllowance, id: string, unspent: number | undefined): void {
	if (unspent !== undefined) {
		allowance.returnLoan(id, unspent);
	}
}

console.log('case policy goodShare meanRetries maxRetries meanRuns maxRuns');
for (const chain of cases) {
	for (const [name, policy] of Object.entries(policies)) {
		const sums = {good: 0, retries: 0, maxRetries: 0, runs: 0, maxRuns: 0};
		for (let call = 0; call < callCount; call++) {
			const totals: Totals = {retries: 0, runs: 0};
			const {isGood} = runCall({chain, policy}, chain.depth, grantedRetries, totals);
			sums.good += isGood ? 1 : 0;
			sums.retries += totals.retries;
			sums.runs += totals.runs;
			sums.maxRetries = Math.max(sums.maxRetries, totals.retries);
			sums.maxRuns = Math.max(sums.maxRuns, totals.runs);
		}

		const cells = [
			(sums.good / callCount).toFixed(4),
			(sums.retries / callCount).toFixed(3),
			sums.maxRetries,
			(sums.runs / callCount).toFixed(2),
			sums.maxRuns,
		];
		console.log([chain.name, name, ...cells].join(' '));
	}
}
