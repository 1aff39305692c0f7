/** Answers without end to the daemon's and the operators' own requests: bounded in bytes, and the request fails. */
import {Buffer} from 'node:buffer';
import test, {type ExecutionContext} from 'ava';
import {encodeFloodChunk, FloodServer} from '../../stand-ins/network/byte-flood.ts';
import {ControlClient} from '../daemon/control/control-client.ts';
import {sendKillRequest} from '../daemon/once/kill-messages.ts';
import {AdminClient} from '../operator/admin/admin-client.ts';
import {SignedHttpClient} from '../store/signed-http-client.ts';
import {createPool} from './pool.ts';

const mebibyte = 1024 * 1024;
/** What the sockets on both sides hold besides. */
const bufferedBytes = 16 * mebibyte;
const maxWaitMs = 8000;
const head =
	'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n';

async function startFlood(t: ExecutionContext): Promise<FloodServer> {
	const pace = {kind: 'fast', maxBytes: 300 * mebibyte} as const;
	const plan = {begin: head, repeat: encodeFloodChunk(64 * 1024), pace};
	const server = await FloodServer.start(plan, maxWaitMs);
	t.teardown(() => {
		server.stop();
	});
	return server;
}

/** Checks that the reader closed the connection after a number of bytes. */
async function checkClosed(
	t: ExecutionContext,
	server: FloodServer,
	maxBytes: number,
): Promise<void> {
	await server.waitForResults();
	for (const {isClosed, sentBytes} of server.results) {
		t.true(isClosed);
		t.true(sentBytes < maxBytes + bufferedBytes, `${sentBytes} bytes were sent`);
	}
}

// LOST: an answer was kept for as long as it came within the time of its request.
test('an answer without end to a kill request', async t => {
	const server = await startFlood(t);
	const {host, port} = server.address;
	const pool = createPool(`http://${host}:${port}`, {connections: 1});
	const killRequest = {role: 'guard', instanceId: 'a', nonce: 'n'} as const;
	t.is(await sendKillRequest(pool, 'key', killRequest), 'unreachable');
	await checkClosed(t, server, 4096);
	await pool.destroy();
});

test('an answer without end to a control request', async t => {
	const server = await startFlood(t);
	const {host: address, port: peerPort} = server.address;
	const client = ControlClient.create('key');
	const policy = await client.readPolicy({address, peerPort});
	t.true(policy.isErr());
	await checkClosed(t, server, 4 * mebibyte);
	await client.close();
});

test('an answer without end to an operator', async t => {
	const server = await startFlood(t);
	const {host, port} = server.address;
	const url = `http://${host}:${port}`;
	const client = AdminClient.create({key: 'key', urls: [url], port: 0, timeoutMs: maxWaitMs});
	const [status] = await client.readStatuses([]);
	t.is(status?.answer.kind, 'failed');
	await checkClosed(t, server, 16 * mebibyte);
});

test('an answer without end from the store', async t => {
	const server = await startFlood(t);
	const {host, port} = server.address;
	const url = `http://${host}:${port}`;
	const client = SignedHttpClient.create('s3', url, {
		tableUrl: url,
		objectsUrl: url,
		tableName: 'table',
		bucket: 'bucket',
		awsRegion: 'region',
		accessKeyId: 'id',
		secretAccessKey: 'secret',
		timeoutMs: maxWaitMs,
	});
	const request = {operation: 'get', key: 'a', method: 'GET', path: '/a', headers: {}} as const;
	const response = await client.send(request);
	t.true(response.isErr());
	await checkClosed(t, server, 32 * mebibyte);
	await client.close();
});

test('a chunk of the flood is one that a reader accepts', t => {
	t.is(Buffer.from(encodeFloodChunk(2)).toString(), '2\r\nxx\r\n');
});
