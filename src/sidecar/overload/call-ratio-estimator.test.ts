import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {CallRatioEstimator, sampleIntervalMs} from './call-ratio-estimator.ts';

/** Creates a seeded generator of uniform numbers in [0, 1). */
function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/** Draws from a Poisson distribution by Knuth's method. */
function drawCount(mean: number, random: () => number): number {
	const limit = Math.exp(-mean);
	let count = 0;
	for (let product = random(); product > limit; product *= random()) {
		count++;
	}

	return count;
}

/** Computes the relative load of a demand that varies by half with a period of 17 s. */
function computeLoadFactor(second: number): number {
	return 1 + 0.5 * Math.sin((second / 17) * 2 * Math.PI);
}

test('call ratios are estimated while the demand of all routes varies together', t => {
	const random = createRandom(7);
	const estimator = CallRatioEstimator.create();
	estimator.setNested('price', true);
	estimator.setNested('order', false);
	for (let interval = 0; interval < 60; interval++) {
		const nowMs = interval * sampleIntervalMs + 1;
		const loadFactor = computeLoadFactor(nowMs / 1000);
		const lookups = drawCount(12 * loadFactor, random);
		const downloads = drawCount(4 * loadFactor, random);
		repeat(lookups, () => {
			estimator.recordInbound('lookup', nowMs);
		});
		repeat(downloads, () => {
			estimator.recordInbound('download', nowMs);
		});
		repeat(lookups * 4, () => {
			estimator.recordOutbound('price', nowMs);
		});
		repeat(drawCount(8 * loadFactor, random), () => {
			estimator.recordOutbound('order', nowMs);
		});
	}

	t.true(Math.abs(estimator.readRatio('lookup', 'price') - 4) < 0.4);
	t.is(estimator.readRatio('download', 'price'), 0);
	t.is(estimator.readRatio('lookup', 'order'), 0);
});

test('no ratio is reported for a route that is not known to be nested', t => {
	const estimator = CallRatioEstimator.create();
	for (let interval = 0; interval < 5; interval++) {
		estimator.recordInbound('lookup', interval * sampleIntervalMs);
		estimator.recordOutbound('price', interval * sampleIntervalMs);
	}

	t.is(estimator.listCallRatios('lookup').size, 0);
	t.is(estimator.isNested('price'), undefined);
});

function repeat(times: number, record: () => void): void {
	for (let index = 0; index < times; index++) {
		record();
	}
}

test('failing calls of one route are not attributed to a route that makes no calls', t => {
	const random = createRandom(11);
	const estimator = CallRatioEstimator.create();
	estimator.setNested('price', true);
	for (let interval = 0; interval < 120; interval++) {
		const nowMs = interval * sampleIntervalMs + 1;
		const loadFactor = computeLoadFactor(nowMs / 1000);
		const lookups = drawCount(10 * loadFactor, random);
		repeat(lookups, () => {
			estimator.recordInbound('lookup', nowMs);
		});
		repeat(drawCount(2 * loadFactor, random), () => {
			estimator.recordInbound('download', nowMs);
		});
		// In the second half of the run, a call tree ends with its first failing call.
		repeat(interval < 60 ? lookups * 4 : lookups + drawCount(lookups, random), () => {
			estimator.recordOutbound('price', nowMs);
		});
		t.is(estimator.readRatio('download', 'price'), 0, `interval ${interval}`);
	}

	t.true(estimator.readRatio('lookup', 'price') > 3.2);
});
