/** Servers may refuse a part of their requests while their health check passes. */
import test from 'ava';
import {RefusalRate} from './refusal-rate.ts';

test('with half of the requests refused, the share is limited by the retry ratio', t => {
	const rate = RefusalRate.create(0.14);
	for (let index = 0; index < 1000; index++) {
		rate.record(index % 2 === 0, index);
	}

	t.true(Math.abs(rate.computeRepeatableShare(1000) - 0.14) < 0.03);
});

test("occasional refusals don't reduce the share", t => {
	const rate = RefusalRate.create(0.14);
	for (let index = 0; index < 1000; index++) {
		rate.record(index % 50 === 0, index);
	}

	t.is(rate.computeRepeatableShare(1000), 1);
});

test('the share returns to 1 within five seconds after the refusals end', t => {
	const rate = RefusalRate.create(0.14);
	for (let index = 0; index < 1000; index++) {
		rate.record(true, index);
	}

	for (let index = 1000; index < 6000; index++) {
		rate.record(false, index);
	}

	t.is(rate.computeRepeatableShare(6000), 1);
});
