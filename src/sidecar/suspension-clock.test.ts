/** A process that was suspended must not act on a permission that ended meanwhile. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {type RefusalReason} from './link/messages.ts';
import {createTestGuard, createTestHead, testAnswer, testExpectation} from './guard/fixtures.ts';
import {LocalServer} from './guard/local-server.ts';
import {SuspensionClock} from './suspension-clock.ts';

test('a suspension counts with its whole time, drift and a clock that is set back do not', t => {
	let systemMs = 1_000_000;
	let steadyMs = 0;
	const clock = SuspensionClock.create({
		readSystemMs: () => systemMs,
		readSteadyMs: () => steadyMs,
	});
	const advance = (system: number, steady: number) => {
		systemMs += system;
		steadyMs += steady;
		return clock.readSuspendedMs();
	};

	t.is(advance(10_000, 10_000), 0);
	t.is(advance(10_100, 10_000), 0);
	t.is(advance(5100, 100), 5000);
	t.is(advance(-60_000, 100), 5000);
	t.is(advance(1000, 1000), 5000);
});

test('a leaving server gets no request after the drain time, of which the sidecar was suspended for a part', t => {
	let suspendedMs = 0;
	const server = LocalServer.create(2500, testExpectation, () => suspendedMs);
	server.restore({id: 'i-1', service: 'shop', slots: 1, startedAtMs: 0}, 0);
	server.apply({kind: 'leave', id: 'i-1', startedAtMs: undefined}, 100);
	t.true(server.canAcceptRequests(200));
	suspendedMs = 4000;
	t.false(server.canAcceptRequests(200));
});

test('a request whose deadline passed during a suspension is refused as not run', async t => {
	let suspendedMs = 0;
	const {guard, runs} = createTestGuard(1, () => suspendedMs);
	const refused: RefusalReason[] = [];
	const listener = {
		handleAnswer() {
			// Not checked here.
		},
		handleTaken() {
			// Bodies are whole.
		},
		handleData() {
			// Answers have no body here.
		},
		handleEnd() {
			// Answers are whole.
		},
		handleRefusal({reason}: {reason: RefusalReason}) {
			refused.push(reason);
		},
		handleFailure() {
			t.fail('the waiting request has not run');
		},
	};
	guard.submit(createTestHead('one'), Buffer.alloc(0), listener);
	guard.submit(createTestHead('two'), Buffer.alloc(0), listener);
	suspendedMs = 6000;
	runs[0]!.listener.handleHead(testAnswer);
	runs[0]!.listener.handleEnd();
	await Promise.resolve();
	t.is(runs.length, 1);
	t.deepEqual(refused, ['late']);
});
