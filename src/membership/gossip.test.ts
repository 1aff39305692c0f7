import test from 'ava';
import {SimFleet, type SimLocation} from '../../bench/fakes/sim-fleet.ts';
import {type SimDaemon} from '../../bench/fakes/sim-daemon.ts';
import {FuzzRun} from '../../bench/fuzz/fuzz-run.ts';

const near: SimLocation = {region: 'qc-est', dataCentre: 'est-a'};
const far: SimLocation = {region: 'qc-ouest', dataCentre: 'ouest-a'};

async function startFleet(count: number, places: readonly SimLocation[]): Promise<SimFleet> {
	const fleet = SimFleet.create(3);
	await fleet.startAll(count, places);
	await fleet.runFor(30_000);
	return fleet;
}

function listStates(daemon: SimDaemon | undefined): Record<string, string> {
	const members = daemon?.gossip.listMembers() ?? [];
	return Object.fromEntries(members.map(member => [member.server, member.state]));
}

test('daemons that know one seed discover all members', async t => {
	const fleet = await startFleet(12, [near, far]);
	for (const daemon of fleet.daemons) {
		t.is(daemon.gossip.listUsableMembers().length, 12);
		t.true(daemon.gossip.isJoined);
	}
});

test('a killed daemon is declared dead; a paused one refutes the suspicion', async t => {
	const fleet = await startFleet(8, [near]);
	fleet.daemons[7]?.kill();
	fleet.daemons[6]?.freeze();
	const seen = new Set<string>();
	for (let second = 0; second < 4; second++) {
		await fleet.runFor(1000);
		seen.add(listStates(fleet.daemons[0])['server-6'] ?? 'dead');
	}

	t.deepEqual(seen, new Set(['serving', 'suspect']));
	await fleet.daemons[6]?.thaw();
	await fleet.runFor(20_000);
	for (const daemon of fleet.daemons.slice(0, 7)) {
		t.is(listStates(daemon)['server-7'], undefined);
		t.is(listStates(daemon)['server-6'], 'serving');
	}
});

test('a leaving state reaches every member within 2 s', async t => {
	const fleet = await startFleet(60, [near, far]);
	fleet.daemons[4]?.announce('leaving');
	await fleet.runFor(2000);
	for (const daemon of fleet.daemons) {
		t.is(listStates(daemon)['server-4'], 'leaving');
	}
});

test('a new instance at the same address and name is never mistaken for the old one', async t => {
	const fleet = await startFleet(8, [near, far]);
	const old = fleet.daemons[2]!;
	old.kill();
	// The replacement's clock is behind by a minute.
	const fresh = fleet.start(old.member.server, old.member.address, near, -60_000);
	await fleet.runFor(30_000);
	for (const daemon of fleet.running) {
		const found = daemon.gossip.listMembers().find(({server}) => server === old.member.server);
		t.is(found?.instanceId, fresh.member.instanceId);
		t.is(found?.state, 'serving');
	}
});

test('an instance that was replaced while paused detects that it is superseded', async t => {
	const fleet = await startFleet(8, [near, far]);
	const old = fleet.daemons[2]!;
	old.freeze();
	await fleet.runFor(5000);
	const fresh = fleet.start(old.member.server, '10.9.0.1', near);
	await fleet.runFor(10_000);
	await old.thaw();
	await fleet.runFor(20_000);
	t.true(old.isSuperseded);
	t.false(fresh.isSuperseded);
	t.is(fresh.member.state, 'serving');
});

test('partitioned data centres use only local members until the partition heals', async t => {
	const fleet = await startFleet(12, [near, far]);
	fleet.network.cut('est-a', 'ouest-a');
	await fleet.runFor(60_000);
	for (const daemon of fleet.daemons) {
		const usable = daemon.gossip.listUsableMembers();
		t.is(usable.length, 6);
		t.true(usable.every(member => member.dataCentre === daemon.member.dataCentre));
		t.is(daemon.gossip.listMembers().length, 12);
	}

	fleet.network.heal();
	await fleet.runFor(10_000);
	for (const daemon of fleet.daemons) {
		t.is(daemon.gossip.listUsableMembers().length, 12);
	}
});

test('dead members are removed after a bounded time', async t => {
	const fleet = await startFleet(3, [near]);
	fleet.daemons[2]?.kill();
	await fleet.runFor(800_000);
	const states = fleet.running.map(daemon => listStates(daemon)['server-2']);
	t.deepEqual(new Set(states), new Set([undefined]));
});

for (const seed of [2, 7]) {
	test(`a randomised run of the control code holds its invariants, seed ${seed}`, async t => {
		const run = FuzzRun.create(seed);
		await run.runEpoch();
		const report = run.readReport();
		t.deepEqual(report.violations, []);
		t.true(report.faults.loss + report.faults.kill + report.faults.replace > 0);
	});
}
