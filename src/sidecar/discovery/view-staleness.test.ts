/** Guards against sidecars that go on with an outdated configuration while nobody hears from the store (CONFIG). */
import {setTimeout as wait} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {measureSpread, startSettledFleet} from './fixtures.ts';

/** Time within which a change has to be in force on the standard sites, from the users' pages. */
const configBoundMs = 2500;
const settleLimitMs = 8000;

/** Starts a fleet whose calls have just begun to wait for changes, and tells which sidecars watch the store. */
async function startWaitingFleet(t: ExecutionContext, size: number) {
	const {store, fleet} = await startSettledFleet(t, size);
	await wait(100);
	return {store, fleet, watchers: fleet.filter(each => each.sync.isWatcher)};
}

for (const size of [5, 24, 175]) {
	// CONFIG: followers were told that nothing had changed by watchers whose calls the store never answered.
	test(`a change reaches ${size} sidecars in time while the calls of both watchers hang`, async t => {
		const {store, fleet, watchers} = await startWaitingFleet(t, size);
		t.is(watchers.length, 2);
		for (const watcher of watchers) {
			watcher.isSilent = true;
		}

		store.write('operator', 'config', 'v3');
		const followers = fleet.filter(each => !watchers.includes(each));
		const spreadMs = await measureSpread(followers, 'v3', settleLimitMs);
		t.true(spreadMs < configBoundMs, `in force at the followers after ${spreadMs} ms`);
	});

	// CONFIG: followers waited longer than the bound for watchers that had ended.
	test(`a change reaches ${size} sidecars in time when both watchers have just ended`, async t => {
		const {store, fleet, watchers} = await startWaitingFleet(t, size);
		for (const watcher of watchers) {
			watcher.isStopped = true;
			watcher.sync.stop();
		}

		// By then, the calls that were under way have ended.
		await wait(20);

		store.write('operator', 'config', 'v3');
		const spreadMs = await measureSpread(fleet, 'v3', settleLimitMs);
		t.true(spreadMs < configBoundMs, `in force everywhere after ${spreadMs} ms`);
	});
}
