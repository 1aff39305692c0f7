import test from 'ava';
import {RetryPause} from './retry-pause.ts';

test('pauses double up to the longest and begin anew after a success', t => {
	const pause = RetryPause.create({firstMs: 100, maxMs: 350}, () => 0.5);
	t.deepEqual([pause.take(), pause.take(), pause.take(), pause.take()], [100, 200, 350, 350]);
	pause.reset();
	t.is(pause.take(), 100);
});

test('the jitter spreads a pause from half to one and a half', t => {
	t.is(RetryPause.create({firstMs: 100, maxMs: 350}, () => 0).take(), 50);
	t.is(RetryPause.create({firstMs: 100, maxMs: 350}, () => 1).take(), 150);
});
