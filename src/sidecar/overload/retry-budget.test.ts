import test from 'ava';
import {RetryBudget} from './retry-budget.ts';

const bound = {ratio: 0.2, windowMs: 10_000, slack: 49};

test('repeats of all sidecars together stay within the bound over any window', t => {
	const sidecars = Array.from({length: 17}, () => RetryBudget.create(bound, () => 17));
	const requests: number[] = [];
	const repeats: number[] = [];
	for (let nowMs = 0; nowMs < 40_000; nowMs += 20) {
		let spent = 0;
		for (const budget of sidecars) {
			budget.recordRequest('catalogue', nowMs);
			spent += budget.spend('catalogue', 'leaf', nowMs) ? 1 : 0;
		}

		requests.push(17);
		repeats.push(spent);
	}

	const steps = 500;
	for (let end = steps; end <= requests.length; end += 25) {
		const asked = computeSum(requests.slice(end - steps, end));
		const repeated = computeSum(repeats.slice(end - steps, end));
		t.true(repeated <= asked * bound.ratio + bound.slack, `window that ends at step ${end}`);
	}
});

test('a sidecar that has just started has a small share only', t => {
	const budget = RetryBudget.create(bound, () => 17);
	let spent = 0;
	for (let index = 0; index < 100; index++) {
		spent += budget.spend('catalogue', 'leaf', 0) ? 1 : 0;
	}

	t.true(spent <= 49 / 17);
});

test('requests that make calls may be repeated less often than those at the end of the tree', t => {
	const budget = RetryBudget.create(bound, () => 17);
	for (let index = 0; index < 1000; index++) {
		budget.recordRequest('catalogue', 0);
	}

	let spent = 0;
	while (budget.spend('catalogue', 'inner', 0)) {
		spent++;
	}

	t.true(spent < 1000 * bound.ratio * 0.1 + 49 / 17);
	t.true(budget.spend('catalogue', 'leaf', 0));
});

test('while fewer requests are let through, the budget of the window before still counts', t => {
	const budget = RetryBudget.create(bound, () => 17);
	for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
		budget.recordRequest('commandes', nowMs);
	}

	let spent = 0;
	while (budget.spend('commandes', 'leaf', 15_000)) {
		spent++;
	}

	t.true(spent > 1000 * bound.ratio * 0.6);
});

test('services do not lend to each other', t => {
	const budget = RetryBudget.create(bound, () => 17);
	for (let index = 0; index < 1000; index++) {
		budget.recordRequest('catalogue', 0);
	}

	while (budget.spend('catalogue', 'leaf', 0)) {
		// Spend all of it.
	}

	t.true(budget.spend('commandes', 'leaf', 0));
	t.false(budget.spend('catalogue', 'leaf', 0));
});

function computeSum(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}
