/** A view counts for a limited time after the store has confirmed it, however many sidecars have passed it on. */
import test from 'ava';
import fc from 'fast-check';
import {computeViewTiming, ViewLease} from './view-lease.ts';

test('a view is expired before the first confirmation and after the limit', t => {
	const lease = ViewLease.create(1600);
	t.true(lease.isExpired(0));
	lease.record(100);
	t.false(lease.isExpired(1700));
	t.true(lease.isExpired(1701));
	t.is(lease.readAgeMs(600), 500);
});

test('an older confirmation changes nothing', t => {
	const lease = ViewLease.create(1600);
	lease.record(1000);
	lease.record(200);
	t.is(lease.readAgeMs(1000), 0);
});

// CONFIG: watchers that confirm each other must not keep a view alive that the store no longer confirms.
test('confirmations that sidecars pass on to each other do not extend the lease', t => {
	const steps = fc.array(fc.record({from: fc.nat(4), to: fc.nat(4), afterMs: fc.nat(400)}));
	const property = fc.property(steps, list => {
		const leases = Array.from({length: 5}, () => ViewLease.create(1600));
		leases[0]!.record(0);
		let nowMs = 0;
		for (const {from, to, afterMs} of list) {
			nowMs += afterMs;
			leases[to]!.record(nowMs - leases[from]!.readAgeMs(nowMs));
		}

		return nowMs <= 1600 || leases.every(lease => lease.isExpired(nowMs));
	});
	t.notThrows(() => {
		fc.assert(property);
	});
});

test('the confirmations of one watcher keep the views of its followers alive', t => {
	for (const boundMs of [1000, 2500, 4000, 9000]) {
		const {waitMs, limitMs} = computeViewTiming(boundMs);
		t.true(waitMs * 1.5 < limitMs);
		t.true(limitMs < boundMs * 0.7);
	}
});
