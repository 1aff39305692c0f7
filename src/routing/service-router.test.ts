import test from 'ava';
import {importance, type GuardReport} from '../call/types.ts';
import {type Member} from '../membership/types.ts';
import {createMember, createPolicy, createRandom, createRouter, request} from './fixtures.ts';
import {type ServiceRouter} from './service-router.ts';
import {type AttemptResult, type RouteRequest} from './types.ts';

const near = [createMember('n1'), createMember('n2')];
const regional = createMember('r1', {dataCentre: 'est-b'});
const remote = createMember('o1', {dataCentre: 'ouest-a', region: 'qc-ouest'});

function chooseServer(router: ServiceRouter, nowMs: number, changes: Partial<RouteRequest> = {}) {
	const choice = router.choose({...request, ...changes}, nowMs);
	return choice.kind === 'server' ? choice.member.server : choice.reason;
}

function finish(
	router: ServiceRouter,
	member: Member,
	nowMs: number,
	changes: Partial<AttemptResult> = {},
): void {
	router.recordStart(member, nowMs);
	const result: AttemptResult = {
		member,
		callName: 'status',
		kind: 'answered',
		latencyMs: 10,
		bytes: 100,
	};
	router.recordResult({...result, ...changes}, nowMs);
}

function createReport(member: Member, changes: Partial<GuardReport> = {}): GuardReport {
	return {
		server: member.server,
		instanceId: member.instanceId,
		admissionLevel: importance.background,
		isOverloadedBelow: false,
		slotsInUse: 0,
		slotLimit: 10,
		queued: 0,
		state: 'serving',
		...changes,
	};
}

test('the own data centre goes first, then the region, then nothing', t => {
	const router = createRouter([...near, regional, remote]);
	for (let run = 0; run < 50; run += 1) {
		t.regex(chooseServer(router, run), /^n/v);
	}

	t.is(chooseServer(router, 0, {excluded: new Set(['n1', 'n2'])}), 'r1');
	t.is(chooseServer(router, 0, {excluded: new Set(['n1', 'n2', 'r1'])}), 'no-server');
});

test('the other region is used only by policy and within the link budget', t => {
	const policy = createPolicy({otherRegion: true}, {link: {bitsPerSecond: 8000, callShare: 1}});
	const router = createRouter([remote], policy);
	let sent = 0;
	for (let run = 0; run < 20; run += 1) {
		sent += chooseServer(router, 0) === 'o1' ? 1 : 0;
	}

	// 1000 bytes a second, and 5 seconds of it saved up.
	t.is(sent, 5);
	t.is(chooseServer(router, 0), 'link-budget');
	t.is(chooseServer(router, 1000), 'o1');
	t.is(chooseServer(router, 1000), 'link-budget');
});

test('a larger answer than expected is paid by later calls', t => {
	const policy = createPolicy({otherRegion: true}, {link: {bitsPerSecond: 8000, callShare: 1}});
	const router = createRouter([remote], policy);
	t.is(chooseServer(router, 0), 'o1');
	finish(router, remote, 0, {bytes: 8000});
	t.is(chooseServer(router, 3000), 'link-budget');
	t.is(chooseServer(router, 4100), 'o1');
});

test('leaving, dead and draining servers get nothing', t => {
	const leaving = createMember('n1', {state: 'leaving'});
	const dead = createMember('n2', {state: 'dead'});
	t.is(chooseServer(createRouter([leaving, dead]), 0), 'no-server');
	const router = createRouter(near);
	finish(router, near[0]!, 0, {report: createReport(near[0]!, {state: 'draining'})});
	for (let run = 0; run < 50; run += 1) {
		t.is(chooseServer(router, run), 'n2');
	}
});

test('a suspected server is a last resort', t => {
	const suspect = createMember('n1', {state: 'suspect'});
	t.is(chooseServer(createRouter([suspect, regional]), 0), 'r1');
	t.is(chooseServer(createRouter([suspect]), 0), 'n1');
});

test('only the named instance is chosen, ejected or not, but not once it drains', t => {
	const router = createRouter([...near, createMember('n3', {state: 'leaving'})]);
	t.is(chooseServer(router, 0, {onlyInstanceId: 'n2-1'}), 'n2');
	t.is(chooseServer(router, 0, {onlyInstanceId: 'n2-0'}), 'wrong-instance');
	t.is(chooseServer(router, 0, {onlyInstanceId: 'n3-1'}), 'draining');
});

test('a server that refused a call gets no less important ones for a short time', t => {
	const router = createRouter([near[0]!, regional]);
	const report = createReport(near[0]!, {admissionLevel: importance.high});
	finish(router, near[0]!, 0, {kind: 'refused', report});
	t.is(chooseServer(router, 1), 'r1');
	t.is(chooseServer(router, 1, {importance: importance.high}), 'n1');
	t.is(chooseServer(router, 600), 'n1');
});

test('when every server sheds, one is still asked', t => {
	const router = createRouter([near[0]!]);
	const report = createReport(near[0]!, {admissionLevel: importance.critical});
	finish(router, near[0]!, 0, {kind: 'refused', report});
	t.is(chooseServer(router, 1), 'n1');
});

test('a server of a new instance starts over and its late results are ignored', t => {
	const router = createRouter(near);
	finish(router, near[0]!, 0, {report: createReport(near[0]!, {state: 'draining'})});
	const next = createMember('n1', {instanceId: 'n1-2'});
	router.setMembers([next], 100);
	finish(router, near[0]!, 100, {report: createReport(near[0]!, {state: 'draining'})});
	t.is(chooseServer(router, 100), 'n1');
});

/** Runs calls one after another, spaced by `everyMs`, and counts them per server. */
function runCalls(
	router: ServiceRouter,
	span: {fromMs: number; toMs: number; everyMs: number},
	finishCall: (member: Member, nowMs: number) => Partial<AttemptResult>,
): Map<string, number> {
	const counts = new Map<string, number>();
	for (let nowMs = span.fromMs; nowMs < span.toMs; nowMs += span.everyMs) {
		const choice = router.choose(request, nowMs);
		if (choice.kind === 'refused') {
			continue;
		}

		const {member} = choice;
		counts.set(member.server, (counts.get(member.server) ?? 0) + 1);
		finish(router, member, nowMs, finishCall(member, nowMs));
	}

	return counts;
}

const four = ['s1', 's2', 's3', 's4'].map(name => createMember(name));

test('a server that reports no load but is slow gets little, whatever it says', t => {
	const router = createRouter(four);
	const counts = runCalls(router, {fromMs: 0, toMs: 20_000, everyMs: 5}, member => {
		const isLiar = member.server === 's1';
		const report = createReport(member, {slotsInUse: isLiar ? 0 : 10});
		return {latencyMs: isLiar ? 100 : 10, report};
	});
	t.true((counts.get('s1') ?? 0) < 40, `the liar got ${counts.get('s1')} of 4000`);
});

test('a server that claims full load keeps a fair part of the work', t => {
	const router = createRouter(four);
	const random = createRandom(3);
	const counts = runCalls(router, {fromMs: 0, toMs: 20_000, everyMs: 5}, member => {
		const isLiar = member.server === 's1';
		const admissionLevel = isLiar ? importance.critical : importance.background;
		const report = createReport(member, {admissionLevel, slotsInUse: isLiar ? 10 : 0});
		return {latencyMs: -10 * Math.log(1 - random()), report};
	});
	t.true((counts.get('s1') ?? 0) > 200, `the server got ${counts.get('s1')} of 4000`);
});

test('a slow server is ejected and comes back after it has healed', t => {
	const router = createRouter(four);
	const random = createRandom(9);
	const drawMs = () => 5 - 5 * Math.log(1 - random());
	const runHealthy = (fromMs: number, toMs: number) =>
		runCalls(router, {fromMs, toMs, everyMs: 5}, () => ({latencyMs: drawMs()}));
	runHealthy(0, 1000);
	const slow = runCalls(router, {fromMs: 1000, toMs: 15_000, everyMs: 5}, member => ({
		latencyMs: drawMs() * (member.server === 's1' ? 10 : 1),
	}));
	t.is(router.countEjected('catalogue'), 1);
	t.true((slow.get('s1') ?? 0) < 28, `the slow server got ${slow.get('s1')} of 2800`);
	const counts = runHealthy(15_000, 55_000);
	t.is(router.countEjected('catalogue'), 0);
	t.true((counts.get('s1') ?? 0) > 500, `the healed server got ${counts.get('s1')} of 8000`);
});

test('a server whose late attempts are cancelled by hedges is ejected', t => {
	const router = createRouter(four);
	const random = createRandom(12);
	const drawMs = () => 5 - 5 * Math.log(1 - random());
	runCalls(router, {fromMs: 0, toMs: 1000, everyMs: 5}, () => ({latencyMs: drawMs()}));
	runCalls(router, {fromMs: 1000, toMs: 6000, everyMs: 5}, member =>
		member.server === 's1' ? {kind: 'cancelled', latencyMs: 30} : {latencyMs: drawMs()},
	);
	t.is(router.countEjected('catalogue'), 1);
});

test('a server that happens to run the long calls does not look slow', t => {
	const router = createRouter(four);
	for (let nowMs = 0; nowMs < 5000; nowMs += 50) {
		for (const member of four) {
			const isLong = member.server === 's1' || nowMs % 500 === 0;
			const callName = isLong ? 'scan' : 'status';
			finish(router, member, nowMs, {latencyMs: isLong ? 500 : 10, callName});
		}
	}

	t.is(router.countEjected('catalogue'), 0);
});

test('a failing server is ejected, but never more than the share', t => {
	const router = createRouter(four);
	runCalls(router, {fromMs: 0, toMs: 2000, everyMs: 5}, member => ({
		kind: member.server < 's3' ? 'failed' : 'answered',
	}));
	t.is(router.countEjected('catalogue'), 1);
	const pair = createRouter(four.slice(0, 2), createPolicy({maxEjectedShare: 0.9}));
	runCalls(pair, {fromMs: 0, toMs: 2000, everyMs: 5}, () => ({kind: 'unreachable'}));
	t.true(pair.countEjected('catalogue') <= 1);
});

test('a server that joins gets less than its part at first and its part later', t => {
	const router = createRouter(four.slice(0, 3));
	const random = createRandom(5);
	const draw = () => ({latencyMs: -10 * Math.log(1 - random())});
	runCalls(router, {fromMs: 0, toMs: 1000, everyMs: 5}, draw);
	router.setMembers(four, 1000);
	const early = runCalls(router, {fromMs: 1000, toMs: 2000, everyMs: 5}, draw);
	runCalls(router, {fromMs: 2000, toMs: 6000, everyMs: 5}, draw);
	const later = runCalls(router, {fromMs: 6000, toMs: 16_000, everyMs: 5}, draw);
	t.true((early.get('s4') ?? 0) < 25, `${early.get('s4')} of 200`);
	t.true((later.get('s4') ?? 0) > 250, `${later.get('s4')} of 2000`);
});

test('most refusals mean overload, and it is over soon after they end', t => {
	const router = createRouter(four);
	runCalls(router, {fromMs: 0, toMs: 500, everyMs: 5}, () => ({kind: 'refused'}));
	t.true(router.isOverloaded('catalogue', 500));
	t.false(router.isOverloaded('catalogue', 2000));
});

test('the baseline takes the servers in turn, whatever was measured', t => {
	const router = createRouter(four, createPolicy({}, {routing: {kind: 'roundRobin'}}));
	const counts = runCalls(router, {fromMs: 0, toMs: 2000, everyMs: 5}, member => ({
		latencyMs: member.server === 's1' ? 100 : 10,
	}));
	t.deepEqual([...counts.values()], [100, 100, 100, 100]);
});
