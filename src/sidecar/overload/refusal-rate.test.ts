/** Pattern: servers that refuse part of their requests while their health check is good. */
import test from 'ava';
import {RefusalRate} from './refusal-rate.ts';

test('a server that refuses half of its requests can serve what the repeats carry', t => {
	const rate = RefusalRate.create(0.14);
	for (let index = 0; index < 1000; index++) {
		rate.record(index % 2 === 0, index);
	}

	t.true(Math.abs(rate.computeShare(1000) - 0.14) < 0.03);
});

test('a server that refuses now and then is left alone', t => {
	const rate = RefusalRate.create(0.14);
	for (let index = 0; index < 1000; index++) {
		rate.record(index % 50 === 0, index);
	}

	t.is(rate.computeShare(1000), 1);
});

test('the share is whole again soon after the refusals end', t => {
	const rate = RefusalRate.create(0.14);
	for (let index = 0; index < 1000; index++) {
		rate.record(true, index);
	}

	for (let index = 1000; index < 6000; index++) {
		rate.record(false, index);
	}

	t.is(rate.computeShare(6000), 1);
});
