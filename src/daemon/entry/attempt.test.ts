import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import test from 'ava';
import {headerNames} from '../../call/headers.ts';
import {importance} from '../../call/types.ts';
import {createPool} from '../../http/pool.ts';
import {Attempt} from './attempt.ts';

async function listen(server: Server): Promise<number> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
}

test('an answer with the id of another attempt is discarded and its connection closed', async t => {
	let connections = 0;
	const server = createServer((_request, response) => {
		response.writeHead(200, {[headerNames.attempt]: 'a-earlier'});
		response.end('the answer to an earlier request');
	});
	server.on('connection', () => {
		connections++;
	});
	const port = await listen(server);
	const pool = createPool(`http://127.0.0.1:${port}`, {connections: 1});
	const start = () =>
		Attempt.start({
			dispatcher: pool,
			member: {
				server: 'leaf-1',
				service: 'leaf',
				dataCentre: 'est-a',
				region: 'qc-est',
				address: '127.0.0.1',
				peerPort: port,
				instanceId: 'i-1',
				startedAtMs: 0,
				incarnation: 0,
				state: 'serving',
				policyVersion: 1,
			},
			context: {
				requestId: 'r-1',
				attemptId: 'a-1',
				service: 'leaf',
				callName: '*',
				caller: 'anonymous',
				importance: importance.normal,
				deadlineMs: 1000,
				depth: 1,
				retryAllowance: 2,
				sizeClass: 'short',
				idempotent: true,
				policyVersion: 1,
			},
			method: 'GET',
			path: '/',
			headers: {},
			body: {kind: 'empty'},
			peerKey: 'peer-key',
		});
	const first = await start().readHead();
	t.deepEqual(first.outcome, {kind: 'unknown', reason: 'foreign answer'});
	t.is(first.answer, undefined);
	t.is(first.allowanceLeft, undefined);
	await start().readHead();
	t.is(connections, 2);
	await pool.destroy();
	server.close();
});
