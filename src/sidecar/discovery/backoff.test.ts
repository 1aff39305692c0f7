import test from 'ava';
import {Backoff} from './backoff.ts';

test('delays double up to the maximum and start again after a success', t => {
	const backoff = Backoff.create({firstMs: 100, maxMs: 350}, () => 0.5);
	t.deepEqual(
		[
			backoff.computeNextDelayMs(),
			backoff.computeNextDelayMs(),
			backoff.computeNextDelayMs(),
			backoff.computeNextDelayMs(),
		],
		[100, 200, 350, 350],
	);
	backoff.reset();
	t.is(backoff.computeNextDelayMs(), 100);
});

test('the jitter spreads a delay from half to one and a half', t => {
	t.is(Backoff.create({firstMs: 100, maxMs: 350}, () => 0).computeNextDelayMs(), 50);
	t.is(Backoff.create({firstMs: 100, maxMs: 350}, () => 1).computeNextDelayMs(), 150);
});
