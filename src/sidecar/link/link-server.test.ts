/**
 * When a connection is lost while its request runs, the request is resumed over a new connection. The
 * metadata of its answer must still be those of its own route and caller.
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {AcceptQueue} from '../scheduling/accept-queue.ts';
import {createTestGuard, createTestHead, testAnswer, testIncarnation} from '../guard/fixtures.ts';
import {encodeCall} from './codec.ts';
import {createTestListener, findFreePorts, immediateQueue, testMetadata} from './fixtures.ts';
import {encodeFrame, type Frame, FrameReader, frameTypes} from './frames.ts';
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
		acceptQueue: AcceptQueue.create(),
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

// REFUSED: replies bear no id; a second reply to one request would be taken for the reply to the next on the link.
test('each request gets one reply, whatever it is cancelled and refused by', async t => {
	const {guard, runs} = createTestGuard(1);
	const server = LinkServer.create({
		guard,
		incarnation: testIncarnation,
		createMetadata: () => testMetadata,
		answerSync: () => '',
		acceptQueue: AcceptQueue.create(),
		runQueue: immediateQueue,
		handleUnread() {
			// Counted by its reply.
		},
		handleInvalidFrame: reason => t.fail(reason),
	});
	const [port] = await findFreePorts(1);
	await server.listen({host: '127.0.0.1', port: port!});
	const socket = net.connect(port!, '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
		server.close();
	});
	const replies: Frame[] = [];
	const reader = FrameReader.create();
	socket.on('data', chunk => {
		reader.read(chunk, frame => {
			replies.push(frame);
		});
	});
	const encodeOpen = (id: string, more = {}) =>
		encodeFrame(frameTypes.open, encodeCall(createTestHead(id, more)));
	const cancel = encodeFrame(frameTypes.cancel, '');
	const steps: Array<{readonly write: Uint8Array; readonly act?: () => void}> = [
		{write: Buffer.concat([encodeOpen('unread'), cancel, cancel])},
		{
			write: encodeOpen('wrong', {serverId: 'another'}),
			act() {
				socket.write(cancel);
			},
		},
		{
			write: encodeOpen('running'),
			act() {
				socket.write(Buffer.concat([cancel, cancel]));
			},
		},
		{
			write: encodeOpen('answered'),
			act() {
				const {listener} = runs.at(-1)!;
				listener.handleHead(testAnswer);
				listener.handleEnd();
				listener.handleFailure('closed', true);
				socket.write(cancel);
			},
		},
		{
			write: encodeOpen('failed'),
			act() {
				const {listener} = runs.at(-1)!;
				listener.handleFailure('closed', true);
				listener.handleFailure('closed', true);
				guard.endCalls();
			},
		},
	];
	for (const [index, {write, act}] of steps.entries()) {
		socket.write(write);
		await wait(50);
		act?.();
		await wait(50);
		// The first frame is the hello.
		t.is(replies.length, index + 2, `after step ${index}`);
	}
});
