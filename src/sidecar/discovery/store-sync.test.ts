/**
 * Watchers relay the store's changes to their data centre: a change costs calls of the watchers only, reaches
 * everyone at once, and still reaches everyone in time when the watchers have been killed or cut off.
 */
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {measureSpread, MemoryStore, startFleet} from './fixtures.ts';

const configBoundMs = 4000;
const fleetSize = 24;

test('changes reach a data centre through its watchers, also after these were lost', async t => {
	const store = MemoryStore.create();
	store.write('operator', 'config', 'v1');
	const fleet = startFleet(store, fleetSize);
	t.teardown(() => {
		for (const {sync} of fleet) {
			sync.stop();
		}
	});
	await measureSpread(fleet, 'v1', 2 * configBoundMs);
	await wait(2500);
	store.write('operator', 'config', 'v2');
	await measureSpread(fleet, 'v2', 2 * configBoundMs);

	// Only the watchers are woken now.
	const callsBefore = store.calls;
	store.write('operator', 'config', 'v3');
	const spreadMs = await measureSpread(fleet, 'v3', 2 * configBoundMs);
	t.true(spreadMs < 1000, `in force everywhere after ${spreadMs} ms`);
	await wait(1000);
	t.true(store.calls - callsBefore <= 8, `${store.calls - callsBefore} calls for one change`);

	const watchers = fleet.filter(each => each.sync.isWatcher);
	t.is(watchers.length, 2);
	watchers[0]!.isStopped = true;
	watchers[0]!.sync.stop();
	watchers[1]!.isCut = true;
	store.write('operator', 'config', 'v4');
	const takeoverMs = await measureSpread(
		fleet.filter(each => each !== watchers[1]),
		'v4',
		2 * configBoundMs,
	);
	t.true(takeoverMs < configBoundMs, `in force everywhere after ${takeoverMs} ms`);
});
