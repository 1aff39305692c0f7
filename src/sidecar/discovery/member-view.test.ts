/** DRAIN: a server that left unheard got requests for as long as its reports said that it was ready. */
import test from 'ava';
import {DrainPlan} from '../drain-plan.ts';
import {testMember} from '../guard/fixtures.ts';
import {type LinkPool} from '../link/link-pool.ts';
import {distances, MemberView} from './member-view.ts';

const transport = {
	kind: 'local',
	readLoad() {
		throw new Error('the load is not read');
	},
} as const;

test('a server that says that it leaves gets no more requests until it has started again', t => {
	const member = {...testMember, serverStartMs: 1000};
	const view = MemberView.create(member, transport, distances.region);
	t.true(view.isAvailable(0));
	view.recordServerLeaving(0);
	view.update({...member, epoch: 2});
	t.false(view.isAvailable(100_000));
	view.update({...member, epoch: 3, serverStartMs: 2000});
	t.true(view.isAvailable(100_000));
	view.recordServerLeaving(100_000);
	t.false(view.isAvailable(200_000));
});

test('a leaving server whose start is not known is left out for half a minute', t => {
	const view = MemberView.create(testMember, transport, distances.region);
	view.recordServerLeaving(0);
	t.false(view.isAvailable(29_000));
	t.true(view.isAvailable(31_000));
});

test('an instance that stops gets requests only while it can finish them', t => {
	const plan = DrainPlan.create(6000);
	const view = MemberView.create(testMember, transport, distances.region, plan);
	const nowMs = performance.now();
	view.update({...testMember, state: 'leaving', isDraining: true});
	t.true(view.isAvailable(nowMs, 700));
	t.true(view.isAvailable(nowMs + 3500, 700));
	t.false(view.isAvailable(nowMs + 3500, 3000));
	t.false(view.isAvailable(nowMs + 5000, 10));
	t.false(view.isAvailable(nowMs));
	view.update({...testMember, state: 'leaving', leftStartMs: 1});
	t.false(view.isAvailable(nowMs, 10));
});

// GONE: a sidecar that was short of processor time got more requests than it could pass on in time.
test('a member whose sidecar was busy is used less for 300 ms', t => {
	const pool = {
		open: () => t.fail(),
		resume: () => t.fail(),
		sync: async () => undefined,
		closeIdleBefore: () => t.fail(),
	} as unknown as LinkPool;
	const view = MemberView.create(testMember, {kind: 'link', pool}, distances.region);
	const usualUtilization = view.estimateUtilization(1000);
	view.recordRefusal('busy', true, 1000);
	t.true(view.isAvailable(1000));
	t.is(view.estimateUtilization(1299), usualUtilization + 1);
	t.is(view.estimateUtilization(1300), usualUtilization);
});
