/** Pattern: servers that refuse part of their requests while their health check is good. */
import test from 'ava';
import {RefusalRate} from './refusal-rate.ts';

test('a server that refuses half of its requests can serve what the repeats carry', t => {
	const rate = RefusalRate.create(0.14);
	for (let index = 0; index < 1000; index++) {
		rate.record(index % 2 === 0, index);
		if (index % 2 === 0) {
			rate.recordRepeat(index);
		}
	}

	t.true(Math.abs(rate.computeShare(1000) - 0.14) < 0.03);
});

test('a server that refuses now and then is left alone', t => {
	const rate = RefusalRate.create(0.14);
	for (let index = 0; index < 1000; index++) {
		rate.record(index % 50 === 0, index);
	}

	t.is(rate.computeShare(1000), 1);
});

test('the share is whole again soon after the refusals end', t => {
	const rate = RefusalRate.create(0.14);
	for (let index = 0; index < 1000; index++) {
		rate.record(true, index);
	}

	for (let index = 1000; index < 6000; index++) {
		rate.record(false, index);
	}

	t.is(rate.computeShare(6000), 1);
});

test('while callers have spent their repeats, fewer requests are started until those get through', t => {
	const rate = RefusalRate.create(0.14);
	const refusedShare = 0.55;
	const demandPerMs = 2;
	const repeatsPerMs = 0.1;
	let started = 0;
	let through = 0;
	for (let nowMs = 0; nowMs < 8000; nowMs++) {
		const first = demandPerMs * rate.computeShare(nowMs);
		const needed = (first * refusedShare) / (1 - refusedShare);
		const repeats = Math.min(needed, repeatsPerMs);
		const arrivals = first + repeats;
		recordMany(arrivals * refusedShare, () => {
			rate.record(true, nowMs);
		});
		recordMany(arrivals * (1 - refusedShare), () => {
			rate.record(false, nowMs);
		});
		recordMany(repeats, () => {
			rate.recordRepeat(nowMs);
		});
		if (nowMs > 4000) {
			started += first;
			through += arrivals * (1 - refusedShare);
		}
	}

	t.true(through / started > 0.75);
});

let remainder = 0;

/** Calls a function as often as a rate says on average. */
function recordMany(count: number, add: () => void): void {
	remainder += count;
	while (remainder >= 1) {
		remainder--;
		add();
	}
}
