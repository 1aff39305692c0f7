import test from 'ava';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {importance} from '../call/types.ts';
import {EarlyShedder, type CallGroup} from './early-shedder.ts';

const kind: CallGroup = {
	service: 'commandes',
	callName: 'order-check',
	importance: importance.normal,
};
const seed = 7;

type Run = {readonly sent: number; readonly answered: number; readonly offered: number};

/** Offers a call each millisecond to guards that answer `capacity` calls in 100 ms. */
function run(shedder: EarlyShedder, fromMs: number, toMs: number, capacity: number): Run {
	let sent = 0;
	let answered = 0;
	let room = 0;
	for (let atMs = fromMs; atMs < toMs; atMs++) {
		room = Math.min(5, room + capacity / 100);
		if (shedder.isShed(kind, atMs)) {
			continue;
		}

		sent++;
		if (room >= 1) {
			room--;
			answered++;
			shedder.recordOutcome(kind, 'answered', atMs);
		} else {
			shedder.recordOutcome(kind, 'overloaded', atMs);
		}
	}

	return {sent, answered, offered: toMs - fromMs};
}

function createShedder(): EarlyShedder {
	const generator = xoroshiro128plus(seed);
	return EarlyShedder.create(() => uniformFloat64(generator));
}

test('nothing is shed early while calls are answered', t => {
	const result = run(createShedder(), 0, 5000, 100);
	t.is(result.sent, result.offered);
});

test('in an overload little more is sent than is answered, and nearly all that can be is answered', t => {
	const shedder = createShedder();
	run(shedder, 0, 2000, 40);
	const result = run(shedder, 2000, 12_000, 40);
	t.true(result.sent <= 1.3 * result.answered, `${result.sent} sent, ${result.answered} answered`);
	t.true(result.answered >= 0.95 * 4000, `${result.answered} of 4000 answered`);
});

test('a closed kind of call opens within a second after the overload', t => {
	const shedder = createShedder();
	run(shedder, 0, 3000, 0);
	const closed = run(shedder, 3000, 4000, 0);
	t.true(closed.sent < 0.1 * closed.offered, `${closed.sent} sent while closed`);
	run(shedder, 4000, 5000, 100);
	const open = run(shedder, 5000, 6000, 100);
	t.true(open.answered >= 0.95 * open.offered, `${open.answered} of ${open.offered} answered`);
});

test('an importance is held back only for refusals of its own', t => {
	const shedder = createShedder();
	run(shedder, 0, 3000, 0);
	t.false(shedder.isShed({...kind, importance: importance.critical}, 3000));
	t.true(shedder.isOverloaded(kind, 3000));
	t.false(shedder.isOverloaded({...kind, importance: importance.critical}, 3000));
});

test('other failures say nothing about load', t => {
	const shedder = createShedder();
	for (let atMs = 0; atMs < 1000; atMs++) {
		shedder.recordOutcome(kind, 'other', atMs);
	}

	t.false(shedder.isShed(kind, 1000));
});

test('no importance is held back while a less important one goes through', t => {
	const shedder = createShedder();
	const important = {...kind, importance: importance.high};
	let heldImportant = 0;
	for (let atMs = 0; atMs < 3000; atMs++) {
		heldImportant += shedder.isShed(important, atMs) ? 1 : 0;
		shedder.recordOutcome(important, atMs % 2 === 0 ? 'answered' : 'overloaded', atMs);
		shedder.recordOutcome(kind, 'answered', atMs);
	}

	t.is(heldImportant, 0);
	for (let atMs = 3000; atMs < 6000; atMs++) {
		heldImportant += shedder.isShed(important, atMs) ? 1 : 0;
		shedder.recordOutcome(important, atMs % 2 === 0 ? 'answered' : 'overloaded', atMs);
		shedder.recordOutcome(kind, 'overloaded', atMs);
	}

	t.true(heldImportant > 0);
});

test('a kind with few calls, none of them answered, opens within a second after the last refusal', t => {
	const shedder = createShedder();
	const offerEach = 30;
	for (let atMs = 0; atMs < 3000; atMs += offerEach) {
		if (!shedder.isShed(kind, atMs)) {
			shedder.recordOutcome(kind, 'overloaded', atMs);
		}
	}

	// Held calls come again at once, as those of clients that retry hard do.
	shedder.recordOutcome(kind, 'overloaded', 3000);
	let held = 0;
	for (let atMs = 3000; atMs < 5000; atMs += offerEach) {
		const isHeld = shedder.isShed(kind, atMs);
		held += isHeld && atMs >= 4000 ? 1 : 0;
	}

	t.is(held, 0);
});
