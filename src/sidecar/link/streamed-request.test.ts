/** The rest of a streamed body comes over the link that began it, or not at all. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createTestGuard, createTestHead, testIncarnation} from '../guard/fixtures.ts';
import {AcceptQueue} from '../scheduling/accept-queue.ts';
import {encodeCall} from './codec.ts';
import {createTestListener, findFreePorts, immediateQueue, testMetadata} from './fixtures.ts';
import {encodeFrame, FrameReader, frameTypes, type FrameType} from './frames.ts';
import {type ResumeHead, takenFeature} from './messages.ts';
import {LinkPool} from './link-pool.ts';
import {LinkServer} from './link-server.ts';

async function startGuard(t: ExecutionContext) {
	const {guard, runs} = createTestGuard(4);
	const invalidFrames: string[] = [];
	const server = LinkServer.create({
		guard,
		incarnation: testIncarnation,
		acceptQueue: AcceptQueue.create(),
		runQueue: immediateQueue,
		createMetadata: () => testMetadata,
		answerSync: () => '',
		handleUnread: () => t.fail('nothing waits here'),
		handleInvalidFrame(reason) {
			invalidFrames.push(reason);
		},
	});
	const [port] = await findFreePorts(1);
	const address = {host: '127.0.0.1', port: port!};
	await server.listen(address);
	t.teardown(() => {
		server.close();
	});
	return {address, runs, invalidFrames};
}

const streamedHead = createTestHead('one', {isWhole: false});

function createResumeHead(): ResumeHead {
	const {nonce, route, callerService} = streamedHead;
	return {nonce, route, callerService, incarnation: testIncarnation};
}

async function waitUntil(isDone: () => boolean): Promise<void> {
	for (let polls = 0; !isDone(); polls++) {
		if (polls > 200) {
			throw new Error('the condition did not hold within 200 polls');
		}

		await wait(10);
	}
}

// UNASKED: a request that goes on over another link would lack what was sent over the former one.
test('a streamed request that is resumed before the end of its body fails', async t => {
	const {address, runs} = await startGuard(t);
	const pool = LinkPool.create(address, reason => t.fail(reason));
	t.teardown(() => {
		pool.close();
	});
	pool.open(streamedHead, Buffer.from('first'), createTestListener({}));
	await waitUntil(() => runs.length === 1);
	const reason = await new Promise<string>(resolve => {
		const listener = createTestListener({
			handleFailure(failure) {
				resolve(failure.reason);
			},
		});
		pool.resume(createResumeHead(), listener);
	});
	t.is(reason, 'cancelled');
});

test('a streamed request whose body has ended is resumed', async t => {
	const {address, runs} = await startGuard(t);
	const pool = LinkPool.create(address, reason => t.fail(reason));
	t.teardown(() => {
		pool.close();
	});
	const link = pool.open(streamedHead, Buffer.from('first'), createTestListener({}));
	link.endBody();
	await waitUntil(() => runs.length === 1);
	const reason = new Promise<string>(resolve => {
		const listener = createTestListener({
			handleFailure(failure) {
				resolve(failure.reason);
			},
		});
		pool.resume(createResumeHead(), listener);
	});
	await wait(50);
	runs[0]!.listener.handleFailure('the server closed the connection', true);
	t.is(await reason, 'the server closed the connection');
});

// UNASKED: a part of a body that follows a resume has a hole before it.
test('a part of a body after a resume closes the link', async t => {
	const {address, runs, invalidFrames} = await startGuard(t);
	const first = net.connect(address);
	first.write(encodeFrame(frameTypes.open, encodeCall(streamedHead), Buffer.from('first')));
	await waitUntil(() => runs.length === 1);
	const second = net.connect(address);
	second.resume();
	second.write(
		Buffer.concat([
			encodeFrame(frameTypes.resume, JSON.stringify(createResumeHead())),
			encodeFrame(frameTypes.data, '', Buffer.from('third')),
		]),
	);
	await once(second, 'close');
	t.is(invalidFrames.length, 1);
	t.regex(invalidFrames[0]!, /a part of a body after the end of the request/v);
	first.destroy();
});

test('a guard says that it reports progress, answers a ping during a request, and none after it', async t => {
	const {address, runs} = await startGuard(t);
	const socket = net.connect(address);
	t.teardown(() => {
		socket.destroy();
	});
	const frames: Array<{readonly type: FrameType; readonly text: string}> = [];
	const reader = FrameReader.create();
	socket.on('data', chunk => {
		reader.read(chunk, ({type, head, body}) => {
			frames.push({type, text: `${head}${Buffer.from(body).toString()}`});
		});
	});
	socket.write(encodeFrame(frameTypes.ping, ''));
	socket.write(encodeFrame(frameTypes.open, encodeCall(streamedHead), Buffer.from('first')));
	socket.write(encodeFrame(frameTypes.ping, ''));
	await waitUntil(() => frames.length === 2);
	t.deepEqual(frames, [
		{type: frameTypes.hello, text: `${testIncarnation}${takenFeature}`},
		{type: frameTypes.taken, text: '0'},
	]);
	runs[0]!.listener.handleFailure('the server closed the connection', true);
	await waitUntil(() => frames.length === 3);
	socket.write(encodeFrame(frameTypes.ping, ''));
	await wait(50);
	t.is(frames.length, 3);
});
