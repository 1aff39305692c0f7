/** Whatever times, loads and grace periods: what is accepted in a planned stop can be answered before its end. */
import test from 'ava';
import fc from 'fast-check';
import {DrainPlan} from './drain-plan.ts';

const phases = ['open', 'bounded', 'closed', 'withdrawing', 'over'];
const graceMs = fc.integer({min: 1000, max: 30_000});

// LOST: a request that was accepted late was cut at the end of the grace time.
test('a request that is accepted after the first seconds is answered before requests are withdrawn', t => {
	const property = fc.property(graceMs, fc.nat(30_000), fc.nat(60_000), (grace, elapsed, bound) => {
		const plan = DrainPlan.create(grace);
		const isLate = elapsed > 3000;
		return !isLate || !plan.canAccept(elapsed, bound) || elapsed + bound < plan.withdrawAtMs;
	});
	t.notThrows(() => {
		fc.assert(property);
	});
});

test('no request is refused that is sure to be answered, until all are refused', t => {
	const property = fc.property(graceMs, fc.nat(30_000), fc.nat(60_000), (grace, elapsed, bound) => {
		const plan = DrainPlan.create(grace);
		const isSure = elapsed + bound + 150 <= plan.withdrawAtMs;
		const isClosed = elapsed >= grace * 0.8;
		return !isSure || isClosed || plan.canAccept(elapsed, bound);
	});
	t.notThrows(() => {
		fc.assert(property);
	});
});

test('the phases follow each other, and the last leaves time to end before the kill', t => {
	const property = fc.property(graceMs, fc.array(fc.nat(30_000)), (grace, times) => {
		const plan = DrainPlan.create(grace);
		const sorted = times.toSorted((first, second) => first - second);
		const order = sorted.map(each => phases.indexOf(plan.decidePhase(each)));
		const isOrdered = order.every((each, index) => index === 0 || order[index - 1]! <= each);
		return isOrdered && plan.decidePhase(grace * 0.95) === 'over';
	});
	t.notThrows(() => {
		fc.assert(property);
	});
});
