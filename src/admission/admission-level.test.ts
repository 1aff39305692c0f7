import test from 'ava';
import {importance, type Importance} from '../call/types.ts';
import {AdmissionLevel} from './admission-level.ts';

/** Lets 20 calls of each importance come each 100 ms; sheds a share of each. */
function run(
	level: AdmissionLevel,
	fromMs: number,
	toMs: number,
	readShedShare: (one: Importance) => number,
): Importance[] {
	const levels: Importance[] = [];
	for (let atMs = fromMs; atMs < toMs; atMs += 100) {
		for (const one of Object.values(importance)) {
			for (let call = 0; call < 20; call++) {
				level.recordArrival(one, atMs);
				if (call < readShedShare(one) * 20) {
					level.recordShed(one, atMs);
				}
			}
		}

		levels.push(level.read(atMs));
	}

	return levels;
}

test('the level rises past what is shed as a whole', t => {
	const level = AdmissionLevel.create();
	run(level, 0, 1000, one => (one <= importance.low ? 1 : 0));
	t.is(level.read(1000), importance.normal);
});

test('a part that is shed neither raises nor swings the level', t => {
	const level = AdmissionLevel.create();
	const levels = run(level, 0, 3000, one => (one === importance.background ? 0.7 : 0));
	t.deepEqual(new Set(levels), new Set([importance.background]));
	run(level, 3000, 4000, one => (one === importance.background ? 1 : 0));
	const held = run(level, 4000, 6000, one => (one === importance.background ? 0.7 : 0));
	t.deepEqual(new Set(held), new Set([importance.low]));
});

test('the level opens fully within a second once nothing is shed', t => {
	const level = AdmissionLevel.create();
	run(level, 0, 2000, one => (one < importance.critical ? 1 : 0));
	t.is(level.read(2000), importance.critical);
	t.is(level.read(3000), importance.background);
});
