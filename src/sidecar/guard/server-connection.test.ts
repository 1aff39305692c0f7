/** Truncated answers, surplus answers, and answers without a length header. */
import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import test from 'ava';
import {createTestCodec, testAnswer} from './fixtures.ts';
import {ServerConnection} from './server-connection.ts';

const codec = createTestCodec((status, rawHeaders) => ({
	...testAnswer,
	requestId: rawHeaders[rawHeaders.indexOf('Id') + 1],
	status,
	closesConnection: rawHeaders.includes('close'),
}));

/** Outcome of one request; `isKept` is true if the connection was kept for reuse. */
type Outcome = {readonly kind: 'whole' | 'failed'; readonly body: string; readonly isKept: boolean};

/** Sends one request to a server that handles it with the given function. */
async function sendToServer(respond: (socket: net.Socket) => void): Promise<Outcome> {
	const server = net.createServer(socket => {
		socket.once('data', () => {
			respond(socket);
		});
		socket.on('error', () => {
			// Expected when the connection under test closes first.
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const outcome = await sendRequest(port);
	server.close();
	return outcome;
}

async function sendRequest(port: number): Promise<Outcome> {
	return new Promise(resolve => {
		let isKept = false;
		let body = '';
		const connection = ServerConnection.open({host: '127.0.0.1', port}, codec, {
			handleIdle() {
				isKept = true;
			},
			handleClosed() {
				// The outcome does not depend on it.
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
					// Tests check the body instead.
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

test('an answer with a length is complete, and its connection is kept', async t => {
	const outcome = await sendToServer(socket => {
		socket.write(`${head('mine', 'Content-Length: 4\r\n')}body`);
	});
	t.deepEqual(outcome, {kind: 'whole', body: 'body', isKept: true});
});

test('an answer without a length is complete when the server ends its side', async t => {
	const outcome = await sendToServer(socket => {
		socket.end(`${head('mine', 'Connection: close\r\n')}body`);
	});
	t.deepEqual(outcome, {kind: 'whole', body: 'body', isKept: false});
});

for (let round = 0; round < 5; round++) {
	test(`an answer without a length is truncated when the connection is reset, round ${round}`, async t => {
		const outcome = await sendToServer(socket => {
			socket.write(`${head('mine', 'Connection: close\r\n')}bo`, () => {
				socket.resetAndDestroy();
			});
		});
		t.is(outcome.kind, 'failed');
	});
}

test('an answer that ends before its length is truncated', async t => {
	const outcome = await sendToServer(socket => {
		socket.end(`${head('mine', 'Content-Length: 9\r\n')}body`);
	});
	t.is(outcome.kind, 'failed');
});

test('an answer to another request is skipped, and the connection is not kept', async t => {
	const outcome = await sendToServer(socket => {
		socket.write(
			`${head('other', 'Content-Length: 5\r\n')}wrong${head('mine', 'Content-Length: 4\r\n')}body`,
		);
	});
	t.deepEqual(outcome, {kind: 'whole', body: 'body', isKept: false});
});

test('a connection with bytes after an answer is not kept', async t => {
	const outcome = await sendToServer(socket => {
		socket.write(
			`${head('mine', 'Content-Length: 4\r\n')}body${head('mine', 'Content-Length: 4\r\n')}body`,
		);
	});
	t.deepEqual(outcome, {kind: 'whole', body: 'body', isKept: false});
});

test('bytes that are not an HTTP answer fail the request', async t => {
	const outcome = await sendToServer(socket => {
		socket.write('what is this?\r\n\r\n');
	});
	t.is(outcome.kind, 'failed');
});
