/**
 * An exchange that has ended must not close the link that it used: the pool may have reused it for another
 * exchange. Invalid frames must close the connection and be reported instead of crashing the process.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {createTestHead} from '../guard/fixtures.ts';
import {encodeRefusal} from './codec.ts';
import {createTestListener, testMetadata} from './fixtures.ts';
import {encodeFrame, frameTypes} from './frames.ts';
import {LinkPool} from './link-pool.ts';
import {type LinkListener} from './link-exchange.ts';

const refusal = encodeRefusal({reason: 'full', member: undefined}, testMetadata);

/** Creates a listener whose promise resolves on the first refusal or loss. */
function createEndListener(): {listener: LinkListener; ended: Promise<string>} {
	let resolve: (end: string) => void;
	const ended = new Promise<string>(done => {
		resolve = done;
	});
	const listener = createTestListener({
		handleRefusal() {
			resolve('refused');
		},
		handleLost() {
			resolve('lost');
		},
	});
	return {listener, ended};
}

/** Starts a peer that answers the first bytes on each connection with a frame. */
async function startPeer(createFrame: () => Uint8Array) {
	const sockets: net.Socket[] = [];
	const invalidFrames: string[] = [];
	const server = net.createServer(socket => {
		sockets.push(socket);
		socket.write(encodeFrame(frameTypes.hello, 'g1'));
		socket.once('data', () => {
			socket.write(createFrame());
		});
		socket.on('error', () => {
			// Closing the pool resets the connection.
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const pool = LinkPool.create({host: '127.0.0.1', port}, reason => {
		invalidFrames.push(reason);
	});
	const close = () => {
		pool.close();
		server.close();
	};

	return {pool, invalidFrames, countSockets: () => sockets.length, close};
}

test('a reused link is not closed by the exchange that used it before', async t => {
	const {pool, countSockets, close} = await startPeer(() =>
		encodeFrame(frameTypes.refused, refusal),
	);
	const first = createEndListener();
	const link = pool.open(createTestHead('one'), Buffer.alloc(0), first.listener);
	t.is(await first.ended, 'refused');
	t.is(link.incarnation, 'g1');
	const second = createEndListener();
	pool.open(createTestHead('two'), Buffer.alloc(0), second.listener);
	link.abandon(first.listener);
	t.is(await Promise.race([second.ended, wait(100, 'open')]), 'open');
	link.abandon(second.listener);
	t.is(await second.ended, 'lost');
	t.is(countSockets(), 1);
	close();
});

test('a frame that is not a valid reply closes the connection and is reported with its reason', async t => {
	const heads = ['', 'no JSON', '{}', '[200]', '[]'];
	const types = [frameTypes.answer, frameTypes.refused, frameTypes.failed, frameTypes.sync];
	for (const type of types) {
		for (const head of heads) {
			const {pool, invalidFrames, close} = await startPeer(() => encodeFrame(type, head));
			const {listener, ended} = createEndListener();
			pool.open(createTestHead('one'), Buffer.alloc(0), listener);
			t.is(await ended, 'lost');
			t.is(invalidFrames.length, 1);
			t.regex(invalidFrames[0]!, new RegExp(`of type ${type}`, 'v'));
			close();
		}
	}
});

// UNASKED: the rest of an upload that was rejected early entered the next request on its link.
test('a link that carries a part of a body is closed after an early reply, and not used again', async t => {
	const {pool, countSockets, close} = await startPeer(() =>
		encodeFrame(frameTypes.refused, refusal),
	);
	t.teardown(close);
	const first = createEndListener();
	const link = pool.open(createTestHead('one', {isWhole: false}), Buffer.from('x'), first.listener);
	t.is(await first.ended, 'refused');
	link.sendBody(Buffer.from('late'));
	const second = createEndListener();
	pool.open(createTestHead('two'), Buffer.alloc(0), second.listener);
	t.is(await second.ended, 'refused');
	t.is(countSockets(), 2);
});
