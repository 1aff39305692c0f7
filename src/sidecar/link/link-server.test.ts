/**
 * When a connection is lost while its request runs, the request is resumed over a new connection. The
 * metadata of its answer must still be those of its own route and caller.
 */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {createTestGuard, createTestHead, testAnswer, testIncarnation} from '../guard/fixtures.ts';
import {createTestListener, findFreePorts, immediateQueue, testMetadata} from './fixtures.ts';
import {LinkPool} from './link-pool.ts';
import {LinkServer} from './link-server.ts';

test('the answer to a resumed request carries the metadata of its route and caller', async t => {
	const {guard, runs} = createTestGuard(1);
	const metadataRequests: string[] = [];
	const server = LinkServer.create({
		guard,
		incarnation: testIncarnation,
		createMetadata(route, callerService) {
			metadataRequests.push(`${route} of ${callerService}`);
			return testMetadata;
		},
		answerSync: () => '',
		runQueue: immediateQueue,
		handleUnread: () => t.fail('the request was cancelled'),
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

	const head = createTestHead('one', {route: 'r-orders', callerService: 'shop'});
	pool.open(head, Buffer.alloc(0), createTestListener({}));
	while (runs.length === 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	const {nonce, route, callerService} = head;
	const answerReceived = new Promise<void>(resolve => {
		const listener = createTestListener({
			handleAnswer() {
				resolve();
			},
		});
		pool.resume({nonce, route, callerService, incarnation: testIncarnation}, listener);
	});
	runs[0]!.listener.handleHead(testAnswer);
	runs[0]!.listener.handleEnd();
	await answerReceived;
	t.deepEqual(new Set(metadataRequests), new Set(['r-orders of shop']));
});
