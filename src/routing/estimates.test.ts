import test from 'ava';
import fc from 'fast-check';
import {createRandom} from './fixtures.ts';
import {LatencyEstimate} from './latency-estimate.ts';
import {LatencyQuantile} from './latency-quantile.ts';
import {LinkBudget} from './link-budget.ts';
import {SlowStart} from './slow-start.ts';

test('the streaming quantile is within one bucket of the exact quantile', t => {
	const random = createRandom(11);
	const quantile = LatencyQuantile.create(0.95);
	const samples: number[] = [];
	for (let run = 0; run < 1000; run += 1) {
		const latencyMs = -20 * Math.log(1 - random());
		samples.push(latencyMs);
		quantile.record(latencyMs);
	}

	const exact = samples.toSorted((a, b) => a - b)[Math.floor(samples.length * 0.95)]!;
	const ratio = (quantile.valueMs ?? 0) / exact;
	t.true(ratio > 0.84 && ratio < 1.19, `ratio ${ratio}`);
});

test('the streaming quantile is undefined before enough samples and follows a change', t => {
	const quantile = LatencyQuantile.create(0.95);
	for (let run = 0; run < 19; run += 1) {
		quantile.record(100);
	}

	t.is(quantile.valueMs, undefined);
	for (let run = 0; run < 30_000; run += 1) {
		quantile.record(10);
	}

	t.true((quantile.valueMs ?? 0) < 12);
});

test('a peak estimate rises fast, falls slowly and decays to the peers without samples', t => {
	const estimate = LatencyEstimate.create();
	for (let run = 0; run < 50; run += 1) {
		estimate.record(10, 0);
	}

	estimate.record(100, 0);
	const risen = estimate.readPeak(0, 10);
	t.true(risen > 25);
	t.true(risen > estimate.mean);
	estimate.record(10, 0);
	t.true(estimate.readPeak(0, 10) > 10 + (risen - 10) / 2);
	t.true(estimate.readPeak(15_000, 10) < 11);
});

test('slow start ramps up to the full share and stays there', t => {
	const slowStart = SlowStart.create(1000);
	t.is(slowStart.computeShare(1000), 0.1);
	t.is(slowStart.computeShare(3500), 0.5);
	t.is(slowStart.computeShare(6000), 1);
	t.is(slowStart.computeShare(6001), 1);
});

test('a link budget never grants more bytes than its rate and one burst', t => {
	t.notThrows(() => {
		fc.assert(
			fc.property(
				fc.array(fc.record({waitMs: fc.nat(2000), bytes: fc.integer({min: 1, max: 5000})})),
				steps => {
					const budget = LinkBudget.create({
						bitsPerSecond: 80_000,
						callShare: 0.5,
						memberCount: 5,
					});
					let nowMs = 0;
					let granted = 0;
					for (const {waitMs, bytes} of steps) {
						nowMs += waitMs;
						if (budget.canSpend(bytes, nowMs)) {
							budget.spend(bytes);
							granted += bytes;
						}
					}

					return granted <= budget.burstBytes + nowMs + 0.001;
				},
			),
			{seed: 44, numRuns: 500},
		);
	});
});
