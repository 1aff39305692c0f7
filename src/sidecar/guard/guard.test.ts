/** Queueing and refusal with more requests than slots, and requests whose link was lost. */
import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {type ExchangeListener} from '../link/exchange.ts';
import {createTestListener} from '../link/fixtures.ts';
import {type CallHead, type RefusalReason} from '../link/messages.ts';
import {
	createTestGuard,
	createTestHead,
	createTestNonce,
	testAnswer,
	testIncarnation,
	testMember,
} from './fixtures.ts';

/** A guard in front of a fake server with two slots; the test ends the runs. */
class GuardHarness {
	readonly refused = new Map<string, RefusalReason>();
	/** Requests that were reported as possibly run. */
	readonly failed = new Set<string>();
	readonly #parts = createTestGuard(2);
	#finished = 0;

	get guard() {
		return this.#parts.guard;
	}

	get server() {
		return this.#parts.server;
	}

	get runs() {
		return this.#parts.runs;
	}

	send(requestId: string, more: Partial<CallHead> = {}): void {
		const head = createTestHead(requestId, more);
		this.guard.submit(head, Buffer.alloc(0), this.#createListener(requestId));
	}

	/** Resumes a request whose link was lost. */
	resume(requestId: string): void {
		const listener = this.#createListener(requestId);
		this.guard.resume(createTestNonce(requestId), testIncarnation, listener);
	}

	/** Ends the oldest unfinished run with an answer. */
	async answerOldestRun(): Promise<void> {
		const run = this.runs[this.#finished++]!;
		run.listener.handleHead(testAnswer);
		run.listener.handleEnd();
		await Promise.resolve();
	}

	listRunIds(): string[] {
		return this.runs.map(run => run.requestId);
	}

	#createListener(requestId: string): ExchangeListener {
		return {
			handleAnswer() {
				// Tests check the runs instead.
			},
			handleData() {
				// Answers are whole here.
			},
			handleTaken() {
				// Bodies are whole here.
			},
			handleEnd() {
				// Answers are whole here.
			},
			handleRefusal: head => {
				this.refused.set(requestId, head.reason);
			},
			handleFailure: () => {
				this.failed.add(requestId);
			},
		};
	}
}

test('nested calls start first, then by priority, then by deadline', async t => {
	const harness = new GuardHarness();
	harness.send('first');
	harness.send('patient', {remainingMs: 9000});
	harness.send('hasty', {remainingMs: 4000});
	harness.send('important', {priority: 0});
	harness.send('inner', {isNested: true});
	for (let index = 0; index < 4; index++) {
		await harness.answerOldestRun();
	}

	t.deepEqual(harness.listRunIds(), ['first', 'inner', 'important', 'hasty', 'patient']);
});

test('a request whose estimated wait is too long is refused at once', t => {
	const harness = new GuardHarness();
	harness.guard.meanServiceMs = 1000;
	harness.send('first');
	harness.send('waits');
	harness.send('hasty', {remainingMs: 500});
	t.is(harness.refused.get('hasty'), 'full');
	t.false(harness.refused.has('waits'));
});

test('a request that has waited too long is refused while it has time left for another server', async t => {
	const harness = new GuardHarness();
	harness.send('first');
	harness.send('waits', {remainingMs: 600});
	await wait(450);
	t.is(harness.refused.get('waits'), 'late');
});

test('a request for another server, or for one that has been leaving for too long, is refused', t => {
	const harness = new GuardHarness();
	harness.send('stale', {serverId: 'i-0'});
	harness.send('other', {service: 'orders'});
	t.is(harness.refused.get('stale'), 'wrongServer');
	t.is(harness.refused.get('other'), 'wrongServer');
	const leftAtMs = performance.now() - 2000;
	harness.server.apply({kind: 'leave', id: 'i-1', startedAtMs: undefined}, leftAtMs);
	harness.send('late');
	t.is(harness.refused.get('late'), 'leaving');
	t.is(harness.runs.length, 0);
});

test('a stopping guard starts no request, and lets running ones end', async t => {
	const harness = new GuardHarness();
	harness.send('first');
	harness.send('waits');
	harness.guard.isStopping = true;
	harness.send('late');
	t.is(harness.refused.get('late'), 'stopping');
	await harness.answerOldestRun();
	t.is(harness.refused.get('waits'), 'stopping');
	t.is(harness.guard.countActive(), 0);
});

test('a draining guard takes what it can finish, and its refusals carry its announcement', t => {
	const {guard, runs} = createTestGuard(2);
	const members: unknown[] = [];
	const reasons: string[] = [];
	const listener = createTestListener({
		handleRefusal({reason, member}) {
			reasons.push(reason);
			members.push(member);
		},
	});
	guard.setDraining(boundMs => boundMs <= 1000);
	guard.submit(createTestHead('short', {remainingMs: 800}), Buffer.alloc(0), listener);
	guard.submit(createTestHead('long', {remainingMs: 5000}), Buffer.alloc(0), listener);
	t.deepEqual(
		runs.map(each => each.requestId),
		['short'],
	);
	t.deepEqual(reasons, ['late']);
	t.deepEqual(members, [testMember]);
});

test('a request that ran is never reported as not run, even if it is resumed late', async t => {
	const harness = new GuardHarness();
	harness.send('ran');
	await harness.answerOldestRun();
	// The outcome is kept for two seconds.
	await wait(2300);
	harness.resume('ran');
	t.false(harness.refused.has('ran'));
	t.true(harness.failed.has('ran'));
});

test('the nonce of a request that never arrived is revoked when the request is resumed', t => {
	const harness = new GuardHarness();
	harness.resume('lost');
	t.is(harness.refused.get('lost'), 'forgotten');
	harness.refused.clear();
	harness.send('lost');
	t.is(harness.refused.get('lost'), 'forgotten');
	t.is(harness.runs.length, 0);
});
