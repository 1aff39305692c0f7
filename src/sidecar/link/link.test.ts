/** Pattern: a link that was given up by one exchange and carries another by now. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {createTestHead} from '../guard/fixtures.ts';
import {encodeRefusal} from './codec.ts';
import {createTestListener, testNews} from './fixtures.ts';
import {encodeFrame, frameTypes} from './frames.ts';
import {LinkPool} from './link-pool.ts';
import {type LinkListener} from './link.ts';

const refusal = encodeRefusal({reason: 'full', member: undefined}, testNews);

/** A listener that tells of its first refusal or loss. */
function listen(): {listener: LinkListener; ended: Promise<string>} {
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

/** Starts a peer that sends a frame in return for the first bytes on each connection. */
async function startPeer(createFrame: () => Uint8Array) {
	const sockets: net.Socket[] = [];
	const badFrames: string[] = [];
	const server = net.createServer(socket => {
		sockets.push(socket);
		socket.write(encodeFrame(frameTypes.hello, 'g1'));
		socket.once('data', () => {
			socket.write(createFrame());
		});
		socket.on('error', () => {
			// The pool was closed.
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const pool = LinkPool.create({host: '127.0.0.1', port}, reason => {
		badFrames.push(reason);
	});
	const close = () => {
		pool.close();
		server.close();
	};

	return {pool, badFrames, countSockets: () => sockets.length, close};
}

test('a link that is free again is not closed by the exchange that it carried before', async t => {
	const {pool, countSockets, close} = await startPeer(() =>
		encodeFrame(frameTypes.refused, refusal),
	);
	const first = listen();
	const link = pool.open(createTestHead('one'), Buffer.alloc(0), first.listener);
	t.is(await first.ended, 'refused');
	t.is(link.incarnation, 'g1');
	const second = listen();
	pool.open(createTestHead('two'), Buffer.alloc(0), second.listener);
	link.abandon(first.listener);
	t.is(await Promise.race([second.ended, wait(100, 'open')]), 'open');
	link.abandon(second.listener);
	t.is(await second.ended, 'lost');
	t.is(countSockets(), 1);
	close();
});

test('a frame that is no reply loses the connection, and the reason is told', async t => {
	const heads = ['', 'no JSON', '{}', '[200]', '[]'];
	const types = [frameTypes.answer, frameTypes.refused, frameTypes.failed, frameTypes.sync];
	for (const type of types) {
		for (const head of heads) {
			const {pool, badFrames, close} = await startPeer(() => encodeFrame(type, head));
			const {listener, ended} = listen();
			pool.open(createTestHead('one'), Buffer.alloc(0), listener);
			t.is(await ended, 'lost');
			t.is(badFrames.length, 1);
			t.regex(badFrames[0]!, new RegExp(`of type ${type}`, 'v'));
			close();
		}
	}
});
