/** Pattern: servers that break off, answer twice, or end an answer without saying where it ends. */
import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import test from 'ava';
import {createTestCodec, testAnswer} from './fixtures.ts';
import {ServerConnection} from './server-connection.ts';

const codec = createTestCodec((status, rawHeaders) => ({
	...testAnswer,
	requestId: rawHeaders[rawHeaders.indexOf('Id') + 1],
	status,
	closes: rawHeaders.includes('close'),
}));

/** What became of one request, and whether the connection could be used again. */
type Outcome = {readonly kind: 'whole' | 'failed'; readonly body: string; readonly isKept: boolean};

/** Sends one request to a server that answers as told. */
async function ask(answer: (socket: net.Socket) => void): Promise<Outcome> {
	const server = net.createServer(socket => {
		socket.once('data', () => {
			answer(socket);
		});
		socket.on('error', () => {
			// The connection under test was closed first.
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const outcome = await send(port);
	server.close();
	return outcome;
}

async function send(port: number): Promise<Outcome> {
	return new Promise(resolve => {
		let isKept = false;
		let body = '';
		const connection = ServerConnection.open({host: '127.0.0.1', port}, codec, {
			handleIdle() {
				isKept = true;
			},
			handleClosed() {
				// The outcome tells.
			},
		});
		const finish = (kind: Outcome['kind']) => {
			setImmediate(() => {
				connection.close();
				resolve({kind, body, isKept});
			});
		};

		const request = {requestId: 'mine', method: 'GET', head: 'GET / HTTP/1.1\r\n\r\n'};
		connection.send(
			{...request, body: Buffer.alloc(0), isWhole: true},
			{
				handleHead() {
					// The body tells.
				},
				handleData(chunk) {
					body += Buffer.from(chunk).toString();
				},
				handleEnd() {
					finish('whole');
				},
				handleFailure() {
					finish('failed');
				},
			},
		);
	});
}

const head = (id: string, more: string) => `HTTP/1.1 200 OK\r\nId: ${id}\r\n${more}\r\n`;

test('an answer with a length is whole, and its connection is kept', async t => {
	const outcome = await ask(socket => {
		socket.write(`${head('mine', 'Content-Length: 4\r\n')}body`);
	});
	t.deepEqual(outcome, {kind: 'whole', body: 'body', isKept: true});
});

test('an answer without a length is whole when the server ends its side', async t => {
	const outcome = await ask(socket => {
		socket.end(`${head('mine', 'Connection: close\r\n')}body`);
	});
	t.deepEqual(outcome, {kind: 'whole', body: 'body', isKept: false});
});

for (let round = 0; round < 5; round++) {
	test(`an answer without a length is cut when the connection is reset, round ${round}`, async t => {
		const outcome = await ask(socket => {
			socket.write(`${head('mine', 'Connection: close\r\n')}bo`, () => {
				socket.resetAndDestroy();
			});
		});
		t.is(outcome.kind, 'failed');
	});
}

test('an answer that ends before its length is cut', async t => {
	const outcome = await ask(socket => {
		socket.end(`${head('mine', 'Content-Length: 9\r\n')}body`);
	});
	t.is(outcome.kind, 'failed');
});

test('an answer to another request is skipped and condemns the connection', async t => {
	const outcome = await ask(socket => {
		socket.write(
			`${head('other', 'Content-Length: 5\r\n')}wrong${head('mine', 'Content-Length: 4\r\n')}body`,
		);
	});
	t.deepEqual(outcome, {kind: 'whole', body: 'body', isKept: false});
});

test('bytes after an answer condemn the connection', async t => {
	const outcome = await ask(socket => {
		socket.write(
			`${head('mine', 'Content-Length: 4\r\n')}body${head('mine', 'Content-Length: 4\r\n')}body`,
		);
	});
	t.deepEqual(outcome, {kind: 'whole', body: 'body', isKept: false});
});

test('bytes that are no answer fail the request', async t => {
	const outcome = await ask(socket => {
		socket.write('what is this?\r\n\r\n');
	});
	t.is(outcome.kind, 'failed');
});
