/** Pattern: a connection that is lost while its request runs. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {createTestGuard, createTestHead, testAnswer, testIncarnation} from '../guard/fixtures.ts';
import {createTestListener, findFreePorts, testNews} from './fixtures.ts';
import {LinkPool} from './link-pool.ts';
import {LinkServer} from './link-server.ts';

test('news on the answer to a resumed request are those of its route and caller', async t => {
	const {guard, runs} = createTestGuard(1);
	const asked: string[] = [];
	const server = LinkServer.create({
		guard,
		incarnation: testIncarnation,
		readNews(route, callerService) {
			asked.push(`${route} of ${callerService}`);
			return testNews;
		},
		answerSync: () => '',
		handleBadFrame: reason => t.fail(reason),
	});
	const [port] = await findFreePorts(1);
	const address = {host: '127.0.0.1', port: port!};
	await server.listen(address);
	const pool = LinkPool.create(address, reason => t.fail(reason));
	t.teardown(() => {
		pool.close();
		server.close();
	});

	const head = createTestHead('one', {route: 'r-orders', callerService: 'shop'});
	pool.open(head, Buffer.alloc(0), createTestListener({}));
	while (runs.length === 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	const {nonce, route, callerService} = head;
	const answered = new Promise<void>(resolve => {
		const listener = createTestListener({
			handleAnswer() {
				resolve();
			},
		});
		pool.resume({nonce, route, callerService, incarnation: testIncarnation}, listener);
	});
	runs[0]!.listener.handleHead(testAnswer);
	runs[0]!.listener.handleEnd();
	await answered;
	t.deepEqual(new Set(asked), new Set(['r-orders of shop']));
});
