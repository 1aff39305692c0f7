import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {importance} from '../call/types.ts';
import {EarlyShedder, type CallGroup} from './early-shedder.ts';

const group: CallGroup = {
	service: 'commandes',
	callName: 'order-check',
	importance: importance.normal,
};
const seed = 7;

type Run = {readonly sent: number; readonly answered: number; readonly offered: number};

/** Offers one call per millisecond to guards that answer `capacity` calls per 100 ms. */
function run(shedder: EarlyShedder, fromMs: number, toMs: number, capacity: number): Run {
	let sent = 0;
	let answered = 0;
	let capacityLeft = 0;
	for (let atMs = fromMs; atMs < toMs; atMs++) {
		capacityLeft = Math.min(5, capacityLeft + capacity / 100);
		if (shedder.shouldShed(group, atMs)) {
			continue;
		}

		sent++;
		if (capacityLeft >= 1) {
			capacityLeft--;
			answered++;
			shedder.recordOutcome(group, 'answered', atMs);
		} else {
			shedder.recordOutcome(group, 'overloaded', atMs);
		}
	}

	return {sent, answered, offered: toMs - fromMs};
}

function createShedder(): EarlyShedder {
	const generator = xoroshiro128plus(seed);
	return EarlyShedder.create(() => uniformFloat64(generator));
}

test('sheds nothing while all calls are answered', t => {
	const result = run(createShedder(), 0, 5000, 100);
	t.is(result.sent, result.offered);
});

test('under overload, sends only slightly more calls than are answered, and uses nearly all capacity', t => {
	const shedder = createShedder();
	run(shedder, 0, 2000, 40);
	const result = run(shedder, 2000, 12_000, 40);
	t.true(result.sent <= 1.3 * result.answered, `${result.sent} sent, ${result.answered} answered`);
	t.true(result.answered >= 0.95 * 4000, `${result.answered} of 4000 answered`);
});

test('a shed call group recovers within a second after the overload', t => {
	const shedder = createShedder();
	run(shedder, 0, 3000, 0);
	const closed = run(shedder, 3000, 4000, 0);
	t.true(closed.sent < 0.1 * closed.offered, `${closed.sent} sent while closed`);
	run(shedder, 4000, 5000, 100);
	const open = run(shedder, 5000, 6000, 100);
	t.true(open.answered >= 0.95 * open.offered, `${open.answered} of ${open.offered} answered`);
});

test('an importance is shed only for refusals of its own calls', t => {
	const shedder = createShedder();
	run(shedder, 0, 3000, 0);
	t.false(shedder.shouldShed({...group, importance: importance.critical}, 3000));
	t.true(shedder.isOverloaded(group, 3000));
	t.false(shedder.isOverloaded({...group, importance: importance.critical}, 3000));
});

test('failures unrelated to load do not cause shedding', t => {
	const shedder = createShedder();
	for (let atMs = 0; atMs < 1000; atMs++) {
		shedder.recordOutcome(group, 'other', atMs);
	}

	t.false(shedder.shouldShed(group, 1000));
});

test('no importance is shed while less important calls are sent', t => {
	const shedder = createShedder();
	const important = {...group, importance: importance.high};
	let shedImportant = 0;
	for (let atMs = 0; atMs < 3000; atMs++) {
		shedImportant += shedder.shouldShed(important, atMs) ? 1 : 0;
		shedder.recordOutcome(important, atMs % 2 === 0 ? 'answered' : 'overloaded', atMs);
		shedder.recordOutcome(group, 'answered', atMs);
	}

	t.is(shedImportant, 0);
	for (let atMs = 3000; atMs < 6000; atMs++) {
		shedImportant += shedder.shouldShed(important, atMs) ? 1 : 0;
		shedder.recordOutcome(important, atMs % 2 === 0 ? 'answered' : 'overloaded', atMs);
		shedder.recordOutcome(group, 'overloaded', atMs);
	}

	t.true(shedImportant > 0);
});

test('a call group with few calls and no answers recovers within a second after the last refusal', t => {
	const shedder = createShedder();
	const offerIntervalMs = 30;
	for (let atMs = 0; atMs < 3000; atMs += offerIntervalMs) {
		if (!shedder.shouldShed(group, atMs)) {
			shedder.recordOutcome(group, 'overloaded', atMs);
		}
	}

	// Shed calls are offered again at once, as by clients that retry without backoff.
	shedder.recordOutcome(group, 'overloaded', 3000);
	let shedCount = 0;
	for (let atMs = 3000; atMs < 5000; atMs += offerIntervalMs) {
		const isShed = shedder.shouldShed(group, atMs);
		shedCount += isShed && atMs >= 4000 ? 1 : 0;
	}

	t.is(shedCount, 0);
});
