import test from 'ava';
import {AdaptiveLimit} from './adaptive-limit.ts';

const ceiling = 40;
const baseMs = 20;

/** Simulates a closed loop with as many concurrent calls as the limit allows, and a throughput that depends on it. */
function runSaturated(
	limit: AdaptiveLimit,
	fromMs: number,
	toMs: number,
	computeCallsPerMs: (limit: number, atMs: number) => number,
): number[] {
	const limits: number[] = [];
	let atMs = fromMs;
	while (atMs < toMs) {
		const callsPerMs = computeCallsPerMs(limit.limit, atMs);
		atMs += 1 / callsPerMs;
		limit.record({serviceMs: limit.limit / callsPerMs, baseMs, isSaturated: true}, atMs);
		limits.push(limit.limit);
	}

	return limits;
}

test('the limit stays at the maximum if the server runs all slots at full speed', t => {
	const limit = AdaptiveLimit.create(ceiling);
	runSaturated(limit, 0, 20_000, slots => slots / baseMs);
	t.is(limit.limit, ceiling);
});

test('the limit falls to the lower concurrency of a server, and rises again when the server recovers', t => {
	const limit = AdaptiveLimit.create(ceiling);
	const serverConcurrency = 20;
	const limits = runSaturated(
		limit,
		0,
		20_000,
		slots => Math.min(slots, serverConcurrency) / baseMs,
	);
	t.true(Math.min(...limits) <= 30, 'no cut was kept');
	t.true(limit.limit >= 15 && limit.limit <= 30, `limit is ${limit.limit}`);
	runSaturated(limit, 20_000, 90_000, slots => slots / baseMs);
	t.is(limit.limit, ceiling);
});

test('a slowdown that does not depend on concurrency does not change the limit', t => {
	const limit = AdaptiveLimit.create(ceiling);
	runSaturated(limit, 0, 30_000, (slots, atMs) => {
		const isSlow = atMs > 5000 && atMs < 10_000;
		return slots / baseMs / (isSlow ? 10 : 1);
	});
	t.is(limit.limit, ceiling);
});

test('the limit rises while no requests wait', t => {
	const limit = AdaptiveLimit.create(ceiling);
	runSaturated(limit, 0, 20_000, slots => Math.min(slots, 10) / baseMs);
	t.true(limit.limit < ceiling);
	let atMs = 20_000;
	for (let call = 0; call < 4000; call++) {
		atMs += 1;
		limit.record({serviceMs: baseMs, baseMs, isSaturated: false}, atMs);
	}

	t.is(limit.limit, ceiling);
});

test('the limit stays between 1 and the maximum of the policy', t => {
	const limit = AdaptiveLimit.create(4);
	const limits = runSaturated(limit, 0, 60_000, () => 0.05);
	t.true(limits.every(value => value >= 1 && value <= 4));
	limit.setCeiling(2);
	t.is(limit.limit, 2);
});
