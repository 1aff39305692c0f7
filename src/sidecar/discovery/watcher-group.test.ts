/**
 * The store's calls must not grow with every sidecar that a change wakes: at any fleet size, two sidecars of
 * each data centre watch the store, and a watcher that falls silent is replaced by one sidecar, not by all.
 */
import test from 'ava';
import {testMember} from '../guard/fixtures.ts';
import {type Member} from '../types.ts';
import {silenceLimitMs, WatcherGroup, watchersPerDataCentre} from './watcher-group.ts';

/** Time within which a configuration has to be in force everywhere, from the users' pages. */
const configBoundMs = 4000;

type Fleet = {readonly members: Member[]; readonly groups: Map<string, WatcherGroup>};

function createFleet(size: number, dataCentres: number): Fleet {
	const members = Array.from({length: size}, (_value, index) => ({
		...testMember,
		instance: `sidecar-${index}`,
		dataCentre: `dc-${index % dataCentres}`,
	}));
	const groups = new Map<string, WatcherGroup>();
	for (const {instance, dataCentre} of members) {
		const group = WatcherGroup.create({instance, dataCentre});
		for (const member of members) {
			group.recordMember(member, 0);
		}

		groups.set(instance, group);
	}

	return {members, groups};
}

function listWatchers({members, groups}: Fleet, dataCentre: string, nowMs: number): string[] {
	return members
		.filter(member => member.dataCentre === dataCentre)
		.map(member => member.instance)
		.filter(instance => groups.get(instance)!.isWatcher(nowMs));
}

/** Lets all watchers but the silent ones relay to the others of their data centre. */
function relay(fleet: Fleet, dataCentre: string, nowMs: number, silent: ReadonlySet<string>): void {
	for (const watcher of listWatchers(fleet, dataCentre, nowMs)) {
		if (silent.has(watcher)) {
			continue;
		}

		for (const peer of fleet.groups.get(watcher)!.listPeers()) {
			fleet.groups.get(peer)!.recordRelay(watcher, nowMs);
		}
	}
}

for (const [size, dataCentres] of [
	[17, 4],
	[200, 8],
	[1400, 8],
] as const) {
	test(`${size} sidecars have two watchers in each data centre`, t => {
		const fleet = createFleet(size, dataCentres);
		for (let index = 0; index < dataCentres; index++) {
			t.is(listWatchers(fleet, `dc-${index}`, 100).length, watchersPerDataCentre);
		}
	});

	test(`a silent watcher of ${size} sidecars is replaced by one other in time for a new configuration`, t => {
		const fleet = createFleet(size, dataCentres);
		const [first] = listWatchers(fleet, 'dc-0', 0);
		const silent = new Set([first!]);
		let replacedAtMs: number | undefined;
		let most = 0;
		for (let nowMs = 0; nowMs < 12_000; nowMs += 100) {
			relay(fleet, 'dc-0', nowMs, silent);
			const active = listWatchers(fleet, 'dc-0', nowMs).filter(instance => !silent.has(instance));
			most = Math.max(most, active.length);
			if (active.length >= watchersPerDataCentre) {
				replacedAtMs ??= nowMs;
			}
		}

		t.true(replacedAtMs! <= configBoundMs, `replaced after ${replacedAtMs} ms`);
		t.is(most, watchersPerDataCentre);
	});
}

test('a sidecar follows while a watcher relays, and reads the store itself when none does', t => {
	const fleet = createFleet(24, 1);
	const watchers = new Set(listWatchers(fleet, 'dc-0', 0));
	relay(fleet, 'dc-0', 0, new Set());
	for (const [instance, group] of fleet.groups) {
		t.is(group.isFollowing(silenceLimitMs - 1), !watchers.has(instance));
		t.false(group.isFollowing(configBoundMs));
	}
});

test('a watcher that announces that it is leaving is replaced at once', t => {
	const fleet = createFleet(24, 1);
	const [first] = listWatchers(fleet, 'dc-0', 0);
	for (const [instance, group] of fleet.groups) {
		if (instance !== first) {
			group.recordMember(
				{...testMember, instance: first!, dataCentre: 'dc-0', state: 'leaving'},
				10,
			);
		}
	}

	const active = listWatchers(fleet, 'dc-0', 10).filter(instance => instance !== first);
	t.is(active.length, watchersPerDataCentre);
});
