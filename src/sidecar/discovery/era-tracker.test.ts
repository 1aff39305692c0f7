/** An answer that the store gave before it was restored must not be taken for its present state. */
import test from 'ava';
import {EraTracker} from './era-tracker.ts';

test('the era of the store rises with each restore, and never falls again', t => {
	const era = EraTracker.create();
	t.is(era.record(3), 'current');
	t.is(era.record(3), 'current');
	t.is(era.record(5), 'restored');
	t.is(era.record(4), 'outdated');
	t.is(era.current, 5);
});
