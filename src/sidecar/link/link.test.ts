/** Pattern: a link that was given up by one exchange and carries another by now. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {createTestHead} from '../guard/fixtures.ts';
import {encodeRefusal} from './codec.ts';
import {encodeFrame, frameTypes} from './frames.ts';
import {LinkPool} from './link-pool.ts';
import {type LinkListener} from './link.ts';

const news = {
	load: {running: 0, waiting: 0, limit: 1},
	configVersion: 1,
	pressure: [],
	costs: undefined,
	isInner: undefined,
};
const refusal = encodeRefusal({reason: 'full', hasArrived: false, member: undefined}, news);

/** A listener that tells of its first refusal or loss. */
function listen(): {listener: LinkListener; ended: Promise<string>} {
	let resolve: (end: string) => void;
	const ended = new Promise<string>(done => {
		resolve = done;
	});
	const ignore = () => {
		// The end tells.
	};

	const listener: LinkListener = {
		handleNews: ignore,
		handleAnswer: ignore,
		handleData: ignore,
		handleEnd: ignore,
		handleRefusal() {
			resolve('refused');
		},
		handleFailure: ignore,
		handleUnreachable: ignore,
		handleLost() {
			resolve('lost');
		},
		handleDrain: ignore,
	};
	return {listener, ended};
}

test('a link that is free again is not closed by the exchange that it carried before', async t => {
	const sockets: net.Socket[] = [];
	const server = net.createServer(socket => {
		sockets.push(socket);
		socket.write(encodeFrame(frameTypes.hello, 'g1'));
		socket.once('data', () => {
			socket.write(encodeFrame(frameTypes.refused, refusal));
		});
		socket.on('error', () => {
			// The pool was closed.
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const pool = LinkPool.create({host: '127.0.0.1', port});

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
	t.is(sockets.length, 1);
	pool.close();
	server.close();
});
