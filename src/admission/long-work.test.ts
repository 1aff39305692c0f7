import test from 'ava';
import {LongLane} from './long-lane.ts';
import {ServiceTimeEstimator} from './service-time-estimator.ts';

const slots = 20;

/** Holds a constant number of short requests for a while. */
function holdShort(lane: LongLane, count: number, fromMs: number, toMs: number): void {
	while (lane.shortInUse < count) {
		lane.recordStart('short');
	}

	while (lane.shortInUse > count) {
		lane.recordEnd('short');
	}

	for (let atMs = fromMs; atMs <= toMs; atMs += 10) {
		lane.recordShortDemand(0, atMs);
	}
}

test('long requests get their share alone, what short ones leave beside them, and at least one slot', t => {
	const lane = LongLane.create(slots, 0.5);
	t.is(lane.longSlots, 10);
	holdShort(lane, 10, 0, 5000);
	t.true(lane.longSlots >= 7 && lane.longSlots <= 9, `${lane.longSlots} slots beside 10 short`);
	holdShort(lane, 20, 5000, 10_000);
	t.is(lane.longSlots, lane.minLongSlots);
	t.true(lane.longSlots >= 1);
	holdShort(lane, 0, 10_000, 15_000);
	t.is(lane.longSlots, 10);
});

test('a single slot still serves long requests', t => {
	const lane = LongLane.create(1, 0.05);
	holdShort(lane, 1, 0, 5000);
	t.is(lane.longSlots, 1);
	t.true(lane.canStart);
});

test('long calls are learned from measured service time and forgotten when they become short', t => {
	const times = ServiceTimeEstimator.create();
	let atMs = 0;
	const record = (name: string, serviceMs: number, calls: number) => {
		for (let call = 0; call < calls; call++) {
			atMs += 1;
			times.record(name, times.readSizeClass(name), serviceMs, atMs);
		}
	};

	for (let round = 0; round < 50; round++) {
		record('status', 10, 9);
		record('archive-scan', 400, 1);
	}

	t.is(times.readSizeClass('status'), 'short');
	t.is(times.readSizeClass('archive-scan'), 'long');
	t.is(times.readSizeClass('never-seen'), 'short');
	for (let round = 0; round < 50; round++) {
		record('status', 10, 9);
		record('archive-scan', 12, 1);
	}

	t.is(times.readSizeClass('archive-scan'), 'short');
});

test('an estimate refuses nothing once it is stale', t => {
	const times = ServiceTimeEstimator.create();
	times.record('status', 'short', 500, 0);
	t.true(times.readMinMs('status', 100) > 0);
	t.is(times.readMinMs('status', 2000), 0);
});

test('the table of call names is bounded', t => {
	const times = ServiceTimeEstimator.create();
	for (let name = 0; name < 1000; name++) {
		times.record(`call-${name}`, 'short', 10, name);
	}

	t.is(times.readBaselineMs('call-0'), 0);
	t.true(times.readBaselineMs('call-999') > 0);
});
