import test from 'ava';
import {importance, type GuardReport} from '../call/types.ts';
import {type Member} from '../membership/types.ts';
import {createMember, createPolicy, createRandom, createRouter, request} from './fixtures.ts';
import {type ServiceRouter} from './service-router.ts';
import {type AttemptResult, type RouteRequest} from './types.ts';

const localMembers = [createMember('n1'), createMember('n2')];
const otherDataCentreMember = createMember('r1', {dataCentre: 'est-b'});
const otherRegionMember = createMember('o1', {dataCentre: 'ouest-a', region: 'qc-ouest'});

function chooseServer(router: ServiceRouter, nowMs: number, changes: Partial<RouteRequest> = {}) {
	const choice = router.choose({...request, ...changes}, nowMs);
	return choice.kind === 'server' ? choice.member.server : choice.reason;
}

function finishAttempt(
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

test('the own data centre is preferred, then the own region; other regions are not used', t => {
	const router = createRouter([...localMembers, otherDataCentreMember, otherRegionMember]);
	for (let run = 0; run < 50; run += 1) {
		t.regex(chooseServer(router, run), /^n/v);
	}

	t.is(chooseServer(router, 0, {excluded: new Set(['n1', 'n2'])}), 'r1');
	t.is(chooseServer(router, 0, {excluded: new Set(['n1', 'n2', 'r1'])}), 'no-server');
});

test('another region is used only if the policy allows it and within the link budget', t => {
	const policy = createPolicy({otherRegion: true}, {link: {bitsPerSecond: 8000, callShare: 1}});
	const router = createRouter([otherRegionMember], policy);
	let sent = 0;
	for (let run = 0; run < 20; run += 1) {
		sent += chooseServer(router, 0) === 'o1' ? 1 : 0;
	}

	// The rate is 1000 bytes per second and the bucket holds 5 seconds of it.
	t.is(sent, 5);
	t.is(chooseServer(router, 0), 'link-budget');
	t.is(chooseServer(router, 1000), 'o1');
	t.is(chooseServer(router, 1000), 'link-budget');
});

test('an answer larger than reserved delays later calls to the other region', t => {
	const policy = createPolicy({otherRegion: true}, {link: {bitsPerSecond: 8000, callShare: 1}});
	const router = createRouter([otherRegionMember], policy);
	t.is(chooseServer(router, 0), 'o1');
	finishAttempt(router, otherRegionMember, 0, {bytes: 8000});
	t.is(chooseServer(router, 7900), 'link-budget');
	t.is(chooseServer(router, 8100), 'o1');
});

test('the link budget reserves the mean size of the kind of call', t => {
	const policy = createPolicy({otherRegion: true}, {link: {bitsPerSecond: 80_000, callShare: 1}});
	const router = createRouter([otherRegionMember], policy);
	t.is(chooseServer(router, 0), 'o1');
	finishAttempt(router, otherRegionMember, 0, {bytes: 20_000});
	// The bucket holds 5 seconds of 10,000 bytes each: one more call of 20,000 fits, two don't.
	t.is(chooseServer(router, 0), 'o1');
	t.is(chooseServer(router, 0), 'link-budget');
	t.is(chooseServer(router, 0, {callName: 'short'}), 'o1');
});

test('leaving, dead and draining servers are not selected', t => {
	const leaving = createMember('n1', {state: 'leaving'});
	const dead = createMember('n2', {state: 'dead'});
	t.is(chooseServer(createRouter([leaving, dead]), 0), 'no-server');
	const router = createRouter(localMembers);
	finishAttempt(router, localMembers[0]!, 0, {
		report: createReport(localMembers[0]!, {state: 'draining'}),
	});
	for (let run = 0; run < 50; run += 1) {
		t.is(chooseServer(router, run), 'n2');
	}
});

test('a suspected server is selected only if no other server is available', t => {
	const suspect = createMember('n1', {state: 'suspect'});
	t.is(chooseServer(createRouter([suspect, otherDataCentreMember]), 0), 'r1');
	t.is(chooseServer(createRouter([suspect]), 0), 'n1');
});

test('a call bound to an instance is routed to it only, and refused if it is leaving', t => {
	const router = createRouter([...localMembers, createMember('n3', {state: 'leaving'})]);
	t.is(chooseServer(router, 0, {onlyInstanceId: 'n2-1'}), 'n2');
	t.is(chooseServer(router, 0, {onlyInstanceId: 'n2-0'}), 'wrong-instance');
	t.is(chooseServer(router, 0, {onlyInstanceId: 'n3-1'}), 'draining');
});

test('a server that refused a call receives no less important calls for a short time', t => {
	const router = createRouter([localMembers[0]!, otherDataCentreMember]);
	const report = createReport(localMembers[0]!, {admissionLevel: importance.high});
	finishAttempt(router, localMembers[0]!, 0, {kind: 'refused', report});
	t.is(chooseServer(router, 1), 'r1');
	t.is(chooseServer(router, 1, {importance: importance.high}), 'n1');
	t.is(chooseServer(router, 600), 'n1');
});

test('a call is still sent if every server sheds load', t => {
	const router = createRouter([localMembers[0]!]);
	const report = createReport(localMembers[0]!, {admissionLevel: importance.critical});
	finishAttempt(router, localMembers[0]!, 0, {kind: 'refused', report});
	t.is(chooseServer(router, 1), 'n1');
});

test('a new instance starts without measurements and ignores late results of the old one', t => {
	const router = createRouter(localMembers);
	finishAttempt(router, localMembers[0]!, 0, {
		report: createReport(localMembers[0]!, {state: 'draining'}),
	});
	const next = createMember('n1', {instanceId: 'n1-2'});
	router.setMembers([next], 100);
	finishAttempt(router, localMembers[0]!, 100, {
		report: createReport(localMembers[0]!, {state: 'draining'}),
	});
	t.is(chooseServer(router, 100), 'n1');
});

/** Runs calls sequentially at intervals of `everyMs` and counts them per server. */
function runCalls(
	router: ServiceRouter,
	span: {fromMs: number; toMs: number; everyMs: number},
	createResult: (member: Member, nowMs: number) => Partial<AttemptResult>,
): Map<string, number> {
	const counts = new Map<string, number>();
	for (let nowMs = span.fromMs; nowMs < span.toMs; nowMs += span.everyMs) {
		const choice = router.choose(request, nowMs);
		if (choice.kind === 'refused') {
			continue;
		}

		const {member} = choice;
		counts.set(member.server, (counts.get(member.server) ?? 0) + 1);
		finishAttempt(router, member, nowMs, createResult(member, nowMs));
	}

	return counts;
}

const fourServers = ['s1', 's2', 's3', 's4'].map(name => createMember(name));

test('a slow server that reports no load receives few calls', t => {
	const router = createRouter(fourServers);
	const counts = runCalls(router, {fromMs: 0, toMs: 20_000, everyMs: 5}, member => {
		const isMisreporting = member.server === 's1';
		const report = createReport(member, {slotsInUse: isMisreporting ? 0 : 10});
		return {latencyMs: isMisreporting ? 100 : 10, report};
	});
	t.true(
		(counts.get('s1') ?? 0) < 40,
		`the misreporting server received ${counts.get('s1')} of 4000`,
	);
});

test('a server that falsely reports full load still receives a fair share of the calls', t => {
	const router = createRouter(fourServers);
	const random = createRandom(3);
	const counts = runCalls(router, {fromMs: 0, toMs: 20_000, everyMs: 5}, member => {
		const isMisreporting = member.server === 's1';
		const admissionLevel = isMisreporting ? importance.critical : importance.background;
		const report = createReport(member, {admissionLevel, slotsInUse: isMisreporting ? 10 : 0});
		return {latencyMs: -10 * Math.log(1 - random()), report};
	});
	t.true((counts.get('s1') ?? 0) > 200, `the server received ${counts.get('s1')} of 4000`);
});

test('a slow server is ejected and reinstated after it has recovered', t => {
	const router = createRouter(fourServers);
	const random = createRandom(9);
	const drawMs = () => 5 - 5 * Math.log(1 - random());
	const runHealthy = (fromMs: number, toMs: number) =>
		runCalls(router, {fromMs, toMs, everyMs: 5}, () => ({latencyMs: drawMs()}));
	runHealthy(0, 1000);
	const slow = runCalls(router, {fromMs: 1000, toMs: 15_000, everyMs: 5}, member => ({
		latencyMs: drawMs() * (member.server === 's1' ? 10 : 1),
	}));
	t.is(router.countEjected('catalogue'), 1);
	t.true((slow.get('s1') ?? 0) < 28, `the slow server received ${slow.get('s1')} of 2800`);
	const counts = runHealthy(15_000, 55_000);
	t.is(router.countEjected('catalogue'), 0);
	t.true(
		(counts.get('s1') ?? 0) > 500,
		`the recovered server received ${counts.get('s1')} of 8000`,
	);
});

test('a server whose late attempts are cancelled by hedges is ejected', t => {
	const router = createRouter(fourServers);
	const random = createRandom(12);
	const drawMs = () => 5 - 5 * Math.log(1 - random());
	runCalls(router, {fromMs: 0, toMs: 1000, everyMs: 5}, () => ({latencyMs: drawMs()}));
	runCalls(router, {fromMs: 1000, toMs: 6000, everyMs: 5}, member =>
		member.server === 's1' ? {kind: 'cancelled', latencyMs: 30} : {latencyMs: drawMs()},
	);
	t.is(router.countEjected('catalogue'), 1);
});

test('a server that happens to receive the long calls is not considered slow', t => {
	const router = createRouter(fourServers);
	for (let nowMs = 0; nowMs < 5000; nowMs += 50) {
		for (const member of fourServers) {
			const isLong = member.server === 's1' || nowMs % 500 === 0;
			const callName = isLong ? 'scan' : 'status';
			finishAttempt(router, member, nowMs, {latencyMs: isLong ? 500 : 10, callName});
		}
	}

	t.is(router.countEjected('catalogue'), 0);
});

test('failing servers are ejected, but never more than the allowed share', t => {
	const router = createRouter(fourServers);
	runCalls(router, {fromMs: 0, toMs: 2000, everyMs: 5}, member => ({
		kind: member.server < 's3' ? 'failed' : 'answered',
	}));
	t.is(router.countEjected('catalogue'), 1);
	const pair = createRouter(fourServers.slice(0, 2), createPolicy({maxEjectedShare: 0.9}));
	runCalls(pair, {fromMs: 0, toMs: 2000, everyMs: 5}, () => ({kind: 'unreachable'}));
	t.true(pair.countEjected('catalogue') <= 1);
});

test('a server that joins receives less than its share at first and its full share later', t => {
	const router = createRouter(fourServers.slice(0, 3));
	const random = createRandom(5);
	const draw = () => ({latencyMs: -10 * Math.log(1 - random())});
	runCalls(router, {fromMs: 0, toMs: 1000, everyMs: 5}, draw);
	router.setMembers(fourServers, 1000);
	const early = runCalls(router, {fromMs: 1000, toMs: 2000, everyMs: 5}, draw);
	runCalls(router, {fromMs: 2000, toMs: 6000, everyMs: 5}, draw);
	const later = runCalls(router, {fromMs: 6000, toMs: 16_000, everyMs: 5}, draw);
	t.true((early.get('s4') ?? 0) < 25, `${early.get('s4')} of 200`);
	t.true((later.get('s4') ?? 0) > 250, `${later.get('s4')} of 2000`);
});

test('a service counts as overloaded while most attempts are refused, and shortly after', t => {
	const router = createRouter(fourServers);
	runCalls(router, {fromMs: 0, toMs: 500, everyMs: 5}, () => ({kind: 'refused'}));
	t.true(router.isOverloaded('catalogue', 500));
	t.false(router.isOverloaded('catalogue', 2000));
});

test('round robin selects the servers in turn, regardless of measurements', t => {
	const router = createRouter(fourServers, createPolicy({}, {routing: {kind: 'roundRobin'}}));
	const counts = runCalls(router, {fromMs: 0, toMs: 2000, everyMs: 5}, member => ({
		latencyMs: member.server === 's1' ? 100 : 10,
	}));
	t.deepEqual([...counts.values()], [100, 100, 100, 100]);
});
