import test from 'ava';
import {ReservingSlotAllocator} from './slot-allocator.ts';
import {ServiceTimeEstimator} from './service-time-estimator.ts';

const slots = 20;

/** Keeps a constant number of short requests in slots for a period of time. */
function runShortRequests(
	slotAllocator: ReservingSlotAllocator,
	count: number,
	fromMs: number,
	toMs: number,
): void {
	while (slotAllocator.shortInUse < count) {
		slotAllocator.recordStart('short');
	}

	while (slotAllocator.shortInUse > count) {
		slotAllocator.recordEnd('short');
	}

	for (let atMs = fromMs; atMs <= toMs; atMs += 10) {
		slotAllocator.recordShortDemand(0, atMs);
	}
}

test('long requests get their full share without short ones, otherwise the remaining slots, and at least one', t => {
	const slotAllocator = ReservingSlotAllocator.create(slots, 0.5);
	t.is(slotAllocator.longSlots, 10);
	runShortRequests(slotAllocator, 10, 0, 5000);
	t.true(
		slotAllocator.longSlots >= 7 && slotAllocator.longSlots <= 9,
		`${slotAllocator.longSlots} slots with 10 short requests running`,
	);
	runShortRequests(slotAllocator, 20, 5000, 10_000);
	t.is(slotAllocator.longSlots, slotAllocator.minLongSlots);
	t.true(slotAllocator.longSlots >= 1);
	runShortRequests(slotAllocator, 0, 10_000, 15_000);
	t.is(slotAllocator.longSlots, 10);
});

test('a single slot also serves long requests', t => {
	const slotAllocator = ReservingSlotAllocator.create(1, 0.05);
	runShortRequests(slotAllocator, 1, 0, 5000);
	t.is(slotAllocator.longSlots, 1);
	t.true(slotAllocator.canStartLong);
});

test('calls are classified as long by measured service time, and as short again when they become faster', t => {
	const serviceTimes = ServiceTimeEstimator.create();
	let atMs = 0;
	const record = (name: string, serviceMs: number, calls: number) => {
		for (let call = 0; call < calls; call++) {
			atMs += 1;
			serviceTimes.record(name, serviceTimes.readSizeClass(name), serviceMs, atMs);
		}
	};

	for (let round = 0; round < 50; round++) {
		record('status', 10, 9);
		record('archive-scan', 400, 1);
	}

	t.is(serviceTimes.readSizeClass('status'), 'short');
	t.is(serviceTimes.readSizeClass('archive-scan'), 'long');
	t.is(serviceTimes.readSizeClass('never-seen'), 'short');
	for (let round = 0; round < 50; round++) {
		record('status', 10, 9);
		record('archive-scan', 12, 1);
	}

	t.is(serviceTimes.readSizeClass('archive-scan'), 'short');
});

test('a stale estimate does not cause refusals', t => {
	const serviceTimes = ServiceTimeEstimator.create();
	serviceTimes.record('status', 'short', 500, 0);
	t.true(serviceTimes.readMinMs('status', 100) > 0);
	t.is(serviceTimes.readMinMs('status', 2000), 0);
});

test('the table of call names is bounded', t => {
	const serviceTimes = ServiceTimeEstimator.create();
	for (let name = 0; name < 1000; name++) {
		serviceTimes.record(`call-${name}`, 'short', 10, name);
	}

	t.is(serviceTimes.readBaselineMs('call-0'), 0);
	t.true(serviceTimes.readBaselineMs('call-999') > 0);
});
