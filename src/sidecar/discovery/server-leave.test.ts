/** DRAIN: a leave that the store had lost was forgotten when the sidecar of the server restarted. */
import test from 'ava';
import {testMember} from '../guard/fixtures.ts';
import {type Member} from '../types.ts';
import {mergeLeave} from './server-leave.ts';

const left: Member = {...testMember, state: 'leaving', serverStartMs: 7, leftStartMs: 7, epoch: 2};

test('a leave is kept until the server has started again', t => {
	const unknownStart = {...testMember, epoch: 3};
	t.like(mergeLeave(left, unknownStart), {state: 'leaving', leftStartMs: 7, epoch: 3});
	t.like(mergeLeave(left, {...unknownStart, serverStartMs: 7}), {state: 'leaving'});
	t.like(mergeLeave(left, {...unknownStart, state: 'down'}), {state: 'down', leftStartMs: 7});
	t.is(mergeLeave(left, {...unknownStart, serverStartMs: 8}).state, 'ready');
	t.is(mergeLeave(left, {...unknownStart, serverId: 'i-2'}).state, 'ready');
	t.is(mergeLeave(undefined, unknownStart).state, 'ready');
});

// A leave that another writer had named kept a server out of use until it started again.
test('a leave that the instance of the server denies is not kept', t => {
	const denied = {...testMember, epoch: 3, serverStartMs: 7, deniedLeaveStartMs: 7};
	t.is(mergeLeave(left, denied).state, 'ready');
	t.is(mergeLeave(left, {...denied, deniedLeaveStartMs: 6}).state, 'leaving');
	t.like(mergeLeave(left, {...denied, state: 'leaving', leftStartMs: 7}), {leftStartMs: 7});
});
