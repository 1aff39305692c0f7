/** Shedding must end with the overload that caused it. */
import test from 'ava';
import {OpenShareController} from './open-share.ts';

/**
 * Simulates a server whose utilization follows the admitted demand with a lag, and returns the share at each
 * step of 100 ms.
 *
 * @param demand - demand as a multiple of the slots, by the time in seconds
 */
function simulate(demand: (second: number) => number, seconds: number): number[] {
	const share = OpenShareController.create();
	const lagSteps = 2;
	const admitted: number[] = Array.from({length: lagSteps}, () => 0);
	const shares: number[] = [];
	for (let nowMs = 0; nowMs < seconds * 1000; nowMs += 100) {
		admitted.push(demand(nowMs / 1000) * share.read(nowMs));
		share.recordUtilization(admitted.at(-1 - lagSteps)!, nowMs);
		shares.push(share.read(nowMs));
	}

	return shares;
}

test('the share converges to a utilization near the target', t => {
	const shares = simulate(() => 2, 10);
	const last = shares.slice(-20);
	for (const share of last) {
		t.true(share * 2 > 1 && share * 2 < 1.6);
	}
});

test('the share returns to 1 within three seconds after the demand falls', t => {
	const shares = simulate(second => (second < 5 ? 3 : 0.6), 10);
	t.is(shares.at(79), 1);
});

test('a server below its target utilization sheds nothing', t => {
	for (const share of simulate(() => 0.8, 10)) {
		t.is(share, 1);
	}
});

test('the share is whole again within two seconds after the deepest overload', t => {
	const endMs = 5000;
	const recoveryMs = 2000;
	const shares = simulate(second => (second * 1000 < endMs ? 30 : 0.6), 10);
	t.is(shares.at((endMs + recoveryMs) / 100), 1);
});
