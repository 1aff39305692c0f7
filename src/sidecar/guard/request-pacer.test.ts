/** LIMIT: a server got far more requests than the limit that it had named. */
import test from 'ava';
import fc from 'fast-check';
import {type ServerLimit} from '../types.ts';
import {RequestPacer} from './request-pacer.ts';

function createNamed(perSecond: number): ServerLimit {
	return {kind: 'named', perSecond};
}

/** Sends as many requests as the pacer allows at each step; returns when they were sent. */
function sendAll(pacer: RequestPacer, fromMs: number, untilMs: number, stepMs: number): number[] {
	const sentAtMs: number[] = [];
	for (let nowMs = fromMs; nowMs < untilMs; nowMs += stepMs) {
		while (pacer.computeDelayMs(nowMs) <= 0 && sentAtMs.length < 10_000) {
			pacer.recordSend(nowMs);
			sentAtMs.push(nowMs);
		}
	}

	return sentAtMs;
}

/** Counts the most requests in any span of four seconds. */
function countMostInWindow(sentAtMs: readonly number[]): number {
	let most = 0;
	for (const [index, startMs] of sentAtMs.entries()) {
		let count = 0;
		for (const atMs of sentAtMs.slice(index)) {
			count += atMs - startMs <= 4000 ? 1 : 0;
		}

		most = Math.max(most, count);
	}

	return most;
}

test('no span of four seconds holds more than one and a half times the limit and five, over a restart too', t => {
	const result = fc.check(
		fc.property(
			fc.double({min: 0.01, max: 60, noNaN: true}),
			fc.integer({min: 1, max: 8000}),
			fc.integer({min: 1, max: 400}),
			(perSecond, restartedAtMs, stepMs) => {
				const before = RequestPacer.create();
				before.recordNamed(createNamed(perSecond), 0, 0);
				const after = RequestPacer.create();
				after.recordHint(perSecond, restartedAtMs);
				const sentAtMs = [
					...sendAll(before, 0, restartedAtMs, stepMs),
					...sendAll(after, restartedAtMs, 12_000, stepMs),
				];
				return countMostInWindow(sentAtMs) <= 1.5 * perSecond * 4 + 5;
			},
		),
		{seed: 23, numRuns: 300},
	);
	t.is(result.counterexample, null);
});

test('a server with a limit gets as many requests as it names', t => {
	const pacer = RequestPacer.create();
	pacer.recordNamed(createNamed(20), 0, 0);
	const got = sendAll(pacer, 0, 10_000, 7).length;
	t.true(got >= 190 && got <= 211, `${got} requests in 10 s`);
});

test('the limit ends with an answer without one, unless its request was sent before the limit was named last', t => {
	const pacer = RequestPacer.create();
	pacer.recordNamed(createNamed(1), 0, 100);
	pacer.recordNamed({kind: 'none'}, 50, 200);
	t.true(pacer.computeDelayMs(200) > 0);
	pacer.recordNamed({kind: 'invalid'}, 150, 200);
	t.true(pacer.computeDelayMs(200) > 0);
	pacer.recordNamed({kind: 'none'}, 150, 300);
	t.is(pacer.computeDelayMs(300), 0);
	t.is(pacer.limit.kind, 'none');
});

test('a peer knows a limit only until the server has answered', t => {
	const pacer = RequestPacer.create();
	pacer.recordHint(10, 0);
	t.deepEqual(pacer.limit, {kind: 'paced', perSecond: 10});
	pacer.recordNamed({kind: 'none'}, 10, 20);
	pacer.recordHint(10, 30);
	t.is(pacer.limit.kind, 'none');
	pacer.reset();
	t.is(pacer.limit.kind, 'unknown');
});

test('a server that takes nothing is still asked now and then', t => {
	const pacer = RequestPacer.create();
	pacer.recordNamed(createNamed(0), 0, 0);
	const got = sendAll(pacer, 0, 40_000, 100).length;
	t.true(got >= 5 && got <= 10, `${got} requests in 40 s`);
});
