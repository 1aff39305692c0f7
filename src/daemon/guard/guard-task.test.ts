import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import test from 'ava';
import {request} from 'undici';
import {encodeContext, headerNames} from '../../call/headers.ts';
import {builtInVersion} from '../../policy/built-in.ts';
import {policySchema} from '../../policy/schema.ts';
import {createTestContext, startTestGuard, testPeerKey} from './fixtures.ts';

const maxConnections = 3;
const document = policySchema.parse({
	services: [
		{
			name: 'catalogue',
			slotsPerServer: 20,
			connectionsPerServer: maxConnections,
			admission: {kind: 'fixed'},
		},
	],
});

test('the guard applies the connection limit of a new policy', async t => {
	let openCount = 0;
	let maxOpenCount = 0;
	const backend = createServer((_request, response) => {
		setTimeout(() => {
			response.end('ok');
		}, 20);
	});
	backend.on('connection', socket => {
		openCount++;
		maxOpenCount = Math.max(maxOpenCount, openCount);
		socket.on('close', () => {
			openCount--;
		});
	});
	backend.listen(0, '127.0.0.1');
	await once(backend, 'listening');
	const guard = await startTestGuard((backend.address() as AddressInfo).port);
	guard.receive({kind: 'policy', policy: {...builtInVersion, version: 1, document}});
	const statuses = await Promise.all(
		Array.from({length: 15}, async (_, index) => {
			const answer = await request(`http://127.0.0.1:${guard.port}/`, {
				headers: {
					...(encodeContext(createTestContext(`a-${index}`)) as Record<string, string>),
					[headerNames.peerKey]: testPeerKey,
				},
			});
			await answer.body.dump();
			return answer.statusCode;
		}),
	);
	t.deepEqual(new Set(statuses), new Set([200]));
	t.is(maxOpenCount, maxConnections);
	await guard.close();
	backend.close();
});
