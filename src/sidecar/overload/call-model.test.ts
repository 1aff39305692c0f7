import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {CallModel, spanMs} from './call-model.ts';

/** Uniform numbers in [0, 1) from a seed. */
function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/** Draws a Poisson count by the product of uniforms. */
function drawCount(mean: number, random: () => number): number {
	const limit = Math.exp(-mean);
	let count = 0;
	for (let product = random(); product > limit; product *= random()) {
		count++;
	}

	return count;
}

/** Rate at a moment of a demand that swings by half within 17 s. */
function computeSwing(second: number): number {
	return 1 + 0.5 * Math.sin((second / 17) * 2 * Math.PI);
}

test('ratios of calls are learnt under a common swing of the demand', t => {
	const random = createRandom(7);
	const model = CallModel.create();
	model.setInner('price', true);
	model.setInner('order', false);
	for (let span = 0; span < 60; span++) {
		const nowMs = span * spanMs + 1;
		const swing = computeSwing(nowMs / 1000);
		const lookups = drawCount(12 * swing, random);
		const downloads = drawCount(4 * swing, random);
		record(lookups, () => {
			model.recordBegun('lookup', nowMs);
		});
		record(downloads, () => {
			model.recordBegun('download', nowMs);
		});
		record(lookups * 4, () => {
			model.recordMade('price', nowMs);
		});
		record(drawCount(8 * swing, random), () => {
			model.recordMade('order', nowMs);
		});
	}

	t.true(Math.abs(model.readRatio('lookup', 'price') - 4) < 0.4);
	t.is(model.readRatio('download', 'price'), 0);
	t.is(model.readRatio('lookup', 'order'), 0);
});

test('nothing is claimed before there is enough to compare', t => {
	const model = CallModel.create();
	for (let span = 0; span < 5; span++) {
		model.recordBegun('lookup', span * spanMs);
		model.recordMade('price', span * spanMs);
	}

	t.is(model.listCalls('lookup').size, 0);
	t.is(model.isInner('price'), undefined);
});

function record(times: number, add: () => void): void {
	for (let index = 0; index < times; index++) {
		add();
	}
}

test('a route that makes no calls is not charged with those of a failing tree', t => {
	const random = createRandom(11);
	const model = CallModel.create();
	model.setInner('price', true);
	for (let span = 0; span < 120; span++) {
		const nowMs = span * spanMs + 1;
		const swing = computeSwing(nowMs / 1000);
		const lookups = drawCount(10 * swing, random);
		record(lookups, () => {
			model.recordBegun('lookup', nowMs);
		});
		record(drawCount(2 * swing, random), () => {
			model.recordBegun('download', nowMs);
		});
		// From the middle on a tree ends with its first call that fails.
		record(span < 60 ? lookups * 4 : lookups + drawCount(lookups, random), () => {
			model.recordMade('price', nowMs);
		});
		t.is(model.readRatio('download', 'price'), 0, `span ${span}`);
	}

	t.true(model.readRatio('lookup', 'price') > 3.2);
});
