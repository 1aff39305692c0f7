/** Input that waited while the process was busy must be known as late. */
import test from 'ava';
import {LoopLag} from './loop-lag.ts';

test('the loop lags during a long turn and for a while after it, and not when its timer is punctual', t => {
	const lag = LoopLag.create(0);
	lag.recordTick(50);
	lag.recordTick(101);
	t.false(lag.isLagging(140));
	t.true(lag.isLagging(400));
	lag.recordTick(450);
	lag.recordTick(500);
	t.true(lag.isLagging(510));
	lag.recordTick(700);
	t.is(lag.collectMaxLagMs(700), 299);
	t.is(lag.collectMaxLagMs(700), 0);
	lag.recordTick(750);
	lag.recordTick(800);
	lag.recordTick(850);
	lag.recordTick(900);
	lag.recordTick(950);
	t.false(lag.isLagging(960));
});
