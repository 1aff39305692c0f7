/** Guards against sidecars that go on from what the store lost when it returned from an older copy (CONFIG). */
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {testMember} from '../guard/fixtures.ts';
import {measureSpread, type MemoryStore, startSettledFleet} from './fixtures.ts';
import {encodeMember} from './member-codec.ts';

const boundMs = 4000;

function writeFiller(store: MemoryStore, count: number): void {
	for (let index = 0; index < count; index++) {
		store.write('other', `key-${index}`, 'text');
	}
}

for (const size of [24, 175]) {
	// CONFIG: versions that were given out again hid an acknowledged change from all sidecars of a data centre.
	test(`a change after a restore reaches ${size} sidecars, and few of them read whole tables`, async t => {
		const {store, fleet} = await startSettledFleet(t, size);
		const copy = store.createCopy();
		writeFiller(store, 20);
		store.write('operator', 'config', 'lost');
		await measureSpread(fleet, 'lost', boundMs);
		const {fullReads} = store;
		store.restoreCopy(copy);
		store.write('operator', 'config', 'v3');
		writeFiller(store, 60);
		store.write('operator', 'other', 'wakes the watchers');

		const spreadMs = await measureSpread(fleet, 'v3', 2 * boundMs);
		t.true(spreadMs < boundMs, `in force everywhere after ${spreadMs} ms`);
		await wait(2000);
		t.true(
			store.fullReads - fullReads <= 8,
			`${store.fullReads - fullReads} reads of whole tables`,
		);
		t.true(fleet.every(each => each.ownRow.era === 2));
	});
}

// CONFIG: the call after an outage waited for changes after a version that the restored store had just reached again.
test('a change is in force in time though the restored store has just come to the known version', async t => {
	const {store, fleet} = await startSettledFleet(t, 24);
	const copy = store.createCopy();
	store.write('operator', 'config', 'lost');
	await measureSpread(fleet, 'lost', boundMs);
	for (const each of fleet) {
		each.isCut = true;
	}

	store.write('other', 'key', 'ends the pending calls');
	await wait(1500);
	store.restoreCopy(copy);
	store.write('operator', 'config', 'v3');
	for (const each of fleet) {
		each.isCut = false;
	}

	const spreadMs = await measureSpread(fleet, 'v3', 2 * boundMs);
	t.true(spreadMs < boundMs, `in force everywhere after ${spreadMs} ms`);
});

// CONFIG: a route's server stayed unknown, since its announcement had a version that was given out before.
test('an announcement after a restore reaches all sidecars, and no older one replaces a newer', async t => {
	const {store, fleet} = await startSettledFleet(t, 24);
	const copy = store.createCopy();
	const changed = {...testMember, instance: 'sidecar-5', dataCentre: 'a', epoch: 9, slots: 7};
	store.write('members', changed.instance, encodeMember(changed));
	writeFiller(store, 20);
	await wait(2500);
	store.restoreCopy(copy);
	const joined = {...testMember, instance: 'joined', dataCentre: 'a'};
	store.write('members', joined.instance, encodeMember(joined));
	writeFiller(store, 60);
	store.write('members', 'unreadable', 'no announcement');
	await wait(boundMs);
	for (const {directory} of fleet) {
		t.truthy(directory.findMember('joined'));
		t.is(directory.findMember('sidecar-5')?.member.epoch ?? 9, 9);
	}
});

// A garbled or forged relay must not move a sidecar into an era that the store has not named.
test('a relay of an era that the store does not confirm changes nothing, and later relays are applied', async t => {
	const {store, fleet} = await startSettledFleet(t, 24);
	const forged = {
		relayFrom: 'sidecar-1',
		changes: [
			{
				table: 'operator',
				base: {era: 1, version: 1},
				position: {era: 9_000_000, version: 9_000_000},
				rows: [{key: 'config', value: 'forged', version: 9_000_000}],
			},
		],
	};
	for (const {sync} of fleet) {
		sync.answerRelay(JSON.stringify(forged));
	}

	await wait(1500);
	t.true(fleet.every(each => each.config === 'v2'));
	store.write('operator', 'config', 'v3');
	const spreadMs = await measureSpread(fleet, 'v3', 2 * boundMs);
	t.true(spreadMs < boundMs, `in force everywhere after ${spreadMs} ms`);
});
