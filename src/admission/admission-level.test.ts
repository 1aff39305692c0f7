import test from 'ava';
import {importance, type Importance} from '../call/types.ts';
import {AdmissionLevel} from './admission-level.ts';

/** Records 20 arrivals of each importance per 100 ms, of which a share is shed. */
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

test('the level rises past an importance that is shed completely', t => {
	const level = AdmissionLevel.create();
	run(level, 0, 1000, one => (one <= importance.low ? 1 : 0));
	t.is(level.read(1000), importance.normal);
});

test('partial shedding neither raises the level nor makes it oscillate', t => {
	const level = AdmissionLevel.create();
	const levels = run(level, 0, 3000, one => (one === importance.background ? 0.7 : 0));
	t.deepEqual(new Set(levels), new Set([importance.background]));
	run(level, 3000, 4000, one => (one === importance.background ? 1 : 0));
	const held = run(level, 4000, 6000, one => (one === importance.background ? 0.7 : 0));
	t.deepEqual(new Set(held), new Set([importance.low]));
});

test('the level falls to the lowest importance within a second after shedding ends', t => {
	const level = AdmissionLevel.create();
	run(level, 0, 2000, one => (one < importance.critical ? 1 : 0));
	t.is(level.read(2000), importance.critical);
	t.is(level.read(3000), importance.background);
});
