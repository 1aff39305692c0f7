/** BUDGET: the end of a server must neither spread by a request that caused it nor fail those that ran beside it. */
import test from 'ava';
import {canSendOn, judgeServerEnd, serverEnds} from './server-end.ts';

test('a request that ran alone, or was at an end before, is not sent on', t => {
	t.is(judgeServerEnd(1, 1), serverEnds.suspect);
	t.is(judgeServerEnd(20, 2), serverEnds.suspect);
	t.false(canSendOn(serverEnds.suspect, false));
});

test('a request that ran beside others is sent on once', t => {
	t.is(judgeServerEnd(2, 1), serverEnds.shared);
	t.true(canSendOn(serverEnds.shared, false));
	t.false(canSendOn(serverEnds.shared, true));
	t.true(canSendOn(serverEnds.none, true));
});
