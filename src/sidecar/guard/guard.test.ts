/** Pattern: more requests than slots, of different rank and patience, and a server that leaves. */
import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {type ExchangeListener} from '../link/exchange.ts';
import {type CallHead, type RefusalReason} from '../link/messages.ts';
import {
	createTestGuard,
	createTestHead,
	createTestNonce,
	testAnswer,
	testIncarnation,
} from './fixtures.ts';

/** A guard before a server with two slots that answers when the test says so. */
class Scene {
	readonly refused = new Map<string, RefusalReason>();
	/** Requests that were told as possibly run. */
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

	ask(requestId: string, more: Partial<CallHead> = {}): void {
		const head = createTestHead(requestId, more);
		this.guard.accept(head, Buffer.alloc(0), this.#createListener(requestId));
	}

	/** Asks what became of a request whose connection was lost. */
	resume(requestId: string): void {
		const listener = this.#createListener(requestId);
		this.guard.resume(createTestNonce(requestId), testIncarnation, listener);
	}

	/** Ends the oldest run with an answer. */
	async finishOne(): Promise<void> {
		const run = this.runs[this.#finished++]!;
		run.listener.handleHead(testAnswer);
		run.listener.handleEnd();
		await Promise.resolve();
	}

	listRuns(): string[] {
		return this.runs.map(run => run.requestId);
	}

	#createListener(requestId: string): ExchangeListener {
		return {
			handleAnswer() {
				// The runs tell.
			},
			handleData() {
				// Answers are whole here.
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

test('calls of admitted work go first, then the rank, then the one that must answer earliest', async t => {
	const scene = new Scene();
	scene.ask('first');
	scene.ask('patient', {remainingMs: 9000});
	scene.ask('hasty', {remainingMs: 4000});
	scene.ask('important', {priority: 0});
	scene.ask('inner', {isInner: true});
	for (let index = 0; index < 4; index++) {
		await scene.finishOne();
	}

	t.deepEqual(scene.listRuns(), ['first', 'inner', 'important', 'hasty', 'patient']);
});

test('a request that would wait too long is refused at once', t => {
	const scene = new Scene();
	scene.guard.serviceMs = 1000;
	scene.ask('first');
	scene.ask('waits');
	scene.ask('hasty', {remainingMs: 500});
	t.is(scene.refused.get('hasty'), 'full');
	t.false(scene.refused.has('waits'));
});

test('a request that has waited too long is refused while its caller has time left', async t => {
	const scene = new Scene();
	scene.ask('first');
	scene.ask('waits', {remainingMs: 600});
	await wait(450);
	t.is(scene.refused.get('waits'), 'late');
});

test('a request for another server, or one that leaves, is refused', t => {
	const scene = new Scene();
	scene.ask('stale', {serverId: 'i-0'});
	scene.ask('other', {service: 'orders'});
	t.is(scene.refused.get('stale'), 'wrongServer');
	t.is(scene.refused.get('other'), 'wrongServer');
	const leftAtMs = performance.now() - 2000;
	scene.server.apply({kind: 'leave', id: 'i-1', bornMs: undefined}, leftAtMs);
	scene.ask('late');
	t.is(scene.refused.get('late'), 'leaving');
	t.is(scene.runs.length, 0);
});

test('a stopping guard starts nothing, and lets what runs end', async t => {
	const scene = new Scene();
	scene.ask('first');
	scene.ask('waits');
	scene.guard.isStopping = true;
	scene.ask('late');
	t.is(scene.refused.get('late'), 'stopping');
	await scene.finishOne();
	t.is(scene.refused.get('waits'), 'stopping');
	t.is(scene.guard.countActive(), 0);
});

test('a request that ran is never told as not run, however late its entry asks', async t => {
	const scene = new Scene();
	scene.ask('ran');
	await scene.finishOne();
	// The end is kept for two seconds.
	await wait(2300);
	scene.resume('ran');
	t.false(scene.refused.has('ran'));
	t.true(scene.failed.has('ran'));
});

test('a request that never came is barred when its entry asks', t => {
	const scene = new Scene();
	scene.resume('lost');
	t.is(scene.refused.get('lost'), 'forgotten');
	scene.refused.clear();
	scene.ask('lost');
	t.is(scene.refused.get('lost'), 'forgotten');
	t.is(scene.runs.length, 0);
});
