import test from 'ava';
import {RetryBudget} from './retry-budget.ts';

const limits = {ratio: 0.2, windowMs: 10_000, slack: 49};

test('retries of all sidecars together stay within the limit over any window', t => {
	const sidecars = Array.from({length: 17}, () => RetryBudget.create(limits, () => 17));
	const requests: number[] = [];
	const retries: number[] = [];
	for (let nowMs = 0; nowMs < 40_000; nowMs += 20) {
		let spent = 0;
		for (const budget of sidecars) {
			budget.recordRequest('catalogue', nowMs);
			spent += budget.trySpend('catalogue', 'leaf', nowMs) ? 1 : 0;
		}

		requests.push(17);
		retries.push(spent);
	}

	const windowSteps = 500;
	for (let end = windowSteps; end <= requests.length; end += 25) {
		const requested = computeSum(requests.slice(end - windowSteps, end));
		const retried = computeSum(retries.slice(end - windowSteps, end));
		t.true(retried <= requested * limits.ratio + limits.slack, `window that ends at step ${end}`);
	}
});

test('a sidecar that has just started gets only its part of the slack', t => {
	const budget = RetryBudget.create(limits, () => 17);
	let spent = 0;
	for (let index = 0; index < 100; index++) {
		spent += budget.trySpend('catalogue', 'leaf', 0) ? 1 : 0;
	}

	t.true(spent <= 49 / 17);
});

test('requests that make nested calls have a smaller retry budget than leaf requests', t => {
	const budget = RetryBudget.create(limits, () => 17);
	for (let index = 0; index < 1000; index++) {
		budget.recordRequest('catalogue', 0);
	}

	let spent = 0;
	while (budget.trySpend('catalogue', 'inner', 0)) {
		spent++;
	}

	t.true(spent < 1000 * limits.ratio * 0.1 + 49 / 17);
	t.true(budget.trySpend('catalogue', 'leaf', 0));
});

test('the budget still includes the previous window after the request rate drops', t => {
	const budget = RetryBudget.create(limits, () => 17);
	for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
		budget.recordRequest('commandes', nowMs);
	}

	let spent = 0;
	for (let nowMs = 10_000; nowMs < 19_000; nowMs += 1000) {
		while (budget.trySpend('commandes', 'leaf', nowMs)) {
			spent++;
		}
	}

	t.true(spent > 1000 * limits.ratio * 0.6);
});

test('retries are spread over the window, so that a long failure does not use them up at its start', t => {
	const budget = RetryBudget.create(limits, () => 17);
	for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
		budget.recordRequest('commandes', nowMs);
	}

	const spentBySecond: number[] = [];
	for (let nowMs = 10_000; nowMs < 16_000; nowMs += 1000) {
		let spent = 0;
		while (budget.trySpend('commandes', 'leaf', nowMs)) {
			spent++;
		}

		spentBySecond.push(spent);
	}

	t.true(Math.min(...spentBySecond) > 0);
	t.true(Math.max(...spentBySecond) <= 1000 * limits.ratio * 0.2);
});

test('services do not share a budget', t => {
	const budget = RetryBudget.create(limits, () => 17);
	for (let index = 0; index < 1000; index++) {
		budget.recordRequest('catalogue', 0);
	}

	while (budget.trySpend('catalogue', 'leaf', 0)) {
		// Spend all of it.
	}

	t.true(budget.trySpend('commandes', 'leaf', 0));
	t.false(budget.trySpend('catalogue', 'leaf', 0));
});

function computeSum(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}
