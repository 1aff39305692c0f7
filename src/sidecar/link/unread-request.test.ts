/** A request that waits in the run queue of a busy guard may be told as not run, and must not run then. */
import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createTestGuard, createTestHead, testIncarnation} from '../guard/fixtures.ts';
import {AcceptQueue} from '../scheduling/accept-queue.ts';
import {createTestListener, findFreePorts, testMetadata} from './fixtures.ts';
import {LinkPool} from './link-pool.ts';
import {LinkServer} from './link-server.ts';

/** A guard behind links whose run queue holds all work until the test releases it. */
async function startBusyGuard(t: ExecutionContext) {
	const tasks: Array<() => void> = [];
	const unreadIds: string[] = [];
	const {guard, runs} = createTestGuard(4);
	const server = LinkServer.create({
		guard,
		incarnation: testIncarnation,
		acceptQueue: AcceptQueue.create(),
		runQueue: {
			submit(run) {
				tasks.push(run);
			},
		},
		createMetadata: () => testMetadata,
		answerSync: () => '',
		handleUnread(head) {
			unreadIds.push(head.requestId);
		},
		handleInvalidFrame: reason => t.fail(reason),
	});
	const [port] = await findFreePorts(1);
	const address = {host: '127.0.0.1', port: port!};
	await server.listen(address);
	const pool = LinkPool.create(address, reason => t.fail(reason));
	t.teardown(() => {
		pool.close();
		server.close();
	});
	const waitForTask = async () => {
		while (tasks.length === 0) {
			await wait(5);
		}
	};

	return {pool, runs, tasks, unreadIds, waitForTask};
}

// REFUSED: a request that is told as not run must not run later.
test('a request that was resumed and refused while it waited to be read does not run', async t => {
	const {pool, runs, tasks, waitForTask} = await startBusyGuard(t);
	const head = createTestHead('one');
	pool.open(head, Buffer.alloc(0), createTestListener({}));
	await waitForTask();
	const {nonce, route, callerService} = head;
	const reason = await new Promise<string>(resolve => {
		const listener = createTestListener({
			handleRefusal(refusal) {
				resolve(refusal.reason);
			},
		});
		pool.resume({nonce, route, callerService, incarnation: testIncarnation}, listener);
	});
	t.is(reason, 'forgotten');
	tasks[0]!();
	t.is(runs.length, 0);
});

// GONE: a request whose link was lost while it waited to be read has no entry that waits for it.
test('a request whose link was lost while it waited to be read does not run', async t => {
	const {pool, runs, tasks, unreadIds, waitForTask} = await startBusyGuard(t);
	pool.open(createTestHead('one'), Buffer.alloc(0), createTestListener({}));
	await waitForTask();
	pool.close();
	while (unreadIds.length === 0) {
		await wait(5);
	}

	tasks[0]!();
	t.is(runs.length, 0);
});

// GONE: a sidecar that was short of processor time held requests until their callers had left.
test('a request that was held for too long is refused, so that its entry can try another server', async t => {
	const {pool, runs, tasks, waitForTask} = await startBusyGuard(t);
	const refused = new Promise<string>(resolve => {
		const listener = createTestListener({
			handleRefusal({reason}) {
				resolve(reason);
			},
		});
		pool.open(createTestHead('one'), Buffer.alloc(0), listener);
	});
	await waitForTask();
	await wait(70);
	tasks[0]!();
	t.is(await refused, 'busy');
	t.is(runs.length, 0);
});
