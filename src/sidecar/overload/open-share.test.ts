/** Pattern: overload that must end when its trigger does. */
import test from 'ava';
import {OpenShare} from './open-share.ts';

/** Plays a server whose use follows the demand that is let through, with a lag. */
function play(demand: (second: number) => number, seconds: number): number[] {
	const share = OpenShare.create();
	const lagSteps = 2;
	const admitted: number[] = Array.from({length: lagSteps}, () => 0);
	const shares: number[] = [];
	for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 100) {
		admitted.push(demand(nowMs / 1000) * share.read(nowMs));
		share.recordUse(admitted.at(-1 - lagSteps)!, nowMs);
		shares.push(share.read(nowMs));
	}

	return shares;
}

test('the share settles where the demand fits', t => {
	const shares = play(() => 2, 10);
	const last = shares.slice(-20);
	for (const share of last) {
		t.true(share * 2 > 1 && share * 2 < 1.6);
	}
});

test('the share is whole again within three seconds after the demand falls', t => {
	const shares = play(second => (second < 5 ? 3 : 0.6), 10);
	t.is(shares.at(79), 1);
});

test('a server that is never full sheds nothing', t => {
	for (const share of play(() => 0.8, 10)) {
		t.is(share, 1);
	}
});

test('the share is whole again within two seconds after the deepest overload', t => {
	const endMs = 5000;
	const recoveryMs = 2000;
	const shares = play(second => (second * 1000 < endMs ? 30 : 0.6), 10);
	t.is(shares.at((endMs + recoveryMs) / 100), 1);
});
