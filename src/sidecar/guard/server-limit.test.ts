/** LIMIT: a server got far more requests than the limit that it had named. */
import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {createTestListener} from '../link/fixtures.ts';
import {type CallHead} from '../link/messages.ts';
import {type ServerLimit} from '../types.ts';
import {
	applyConfirmed,
	createTestGuard,
	createTestHead,
	testAnswer,
	testReport,
} from './fixtures.ts';

/** A guard in front of a fake server with many slots. */
class LimitedGuardFixture {
	readonly parts = createTestGuard(200);
	readonly refusals: string[] = [];
	#count = 0;

	send(count: number, more: Partial<CallHead> = {}): void {
		for (let index = 0; index < count; index++) {
			const listener = createTestListener({
				handleRefusal: ({reason}) => {
					this.refusals.push(reason);
				},
			});
			const head = createTestHead(`request-${this.#count++}`, more);
			this.parts.guard.submit(head, Buffer.alloc(0), listener);
		}
	}

	/** Answers a request; the answer names a limit. */
	answer(index: number, limit: ServerLimit): void {
		const run = this.parts.runs[index]!;
		run.listener.handleHead({...testAnswer, limit});
		run.listener.handleEnd();
	}
}

test('a guard passes requests beyond the limit of its server over to other servers', t => {
	const fixture = new LimitedGuardFixture();
	fixture.send(1);
	fixture.answer(0, {kind: 'named', perSecond: 10});
	fixture.send(50);
	t.deepEqual(new Set(fixture.refusals), new Set(['limited']));
	t.is(fixture.parts.runs.length, 1);
	t.true(fixture.parts.guard.readLoad().pace.fill > 0.9);
});

test('a guard that has restarted keeps the limit that its peers know', t => {
	const fixture = new LimitedGuardFixture();
	fixture.send(50, {serverLimitPerSecond: 10});
	t.is(fixture.parts.runs.length, 0);
	t.is(fixture.refusals.length, 50);
});

test('a request that no other server can take waits for the limit', async t => {
	const fixture = new LimitedGuardFixture();
	fixture.send(3, {serverLimitPerSecond: 20, isPatient: true});
	t.is(fixture.parts.runs.length, 0);
	await wait(500);
	t.is(fixture.parts.runs.length, 3);
	t.deepEqual(fixture.refusals, []);
});

test('a limit ends when the server no longer names one, and when another server uses the address', t => {
	const fixture = new LimitedGuardFixture();
	const {server} = fixture.parts;
	fixture.send(2);
	fixture.answer(0, {kind: 'named', perSecond: 10});
	fixture.answer(1, {kind: 'none'});
	fixture.send(1);
	t.deepEqual(fixture.refusals, ['limited']);
	const sentAtMs = performance.now() + 1;
	server.recordAnswerHead(testAnswer, {serverId: 'i-0', sentAtMs}, sentAtMs + 1);
	t.is(server.pacer.limit.kind, 'paced');
	server.recordAnswerHead(testAnswer, {serverId: 'i-1', sentAtMs}, sentAtMs + 1);
	fixture.send(20);
	t.is(fixture.refusals.length, 1);

	const named = {...testAnswer, limit: {kind: 'named', perSecond: 10}} as const;
	server.recordAnswerHead(named, {serverId: 'i-1', sentAtMs: 0}, 0);
	t.is(server.pacer.limit.kind, 'paced');
	const report = {...testReport, id: 'i-2', slots: 200, sequence: 1};
	applyConfirmed(server, report, performance.now());
	t.is(server.pacer.limit.kind, 'unknown');
});
