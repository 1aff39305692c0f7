import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import test from 'ava';
import {request} from 'undici';
import {createAdmissionController} from '../../admission/create-admission-controller.ts';
import {encodeContext, headerNames} from '../../call/headers.ts';
import {importance, type CallContext} from '../../call/types.ts';
import {builtInVersion} from '../../policy/built-in.ts';
import {policySchema} from '../../policy/schema.ts';
import {Logger} from '../../reporting/logger.ts';
import {Metrics} from '../../reporting/metrics.ts';
import {readMonotonicMs} from '../clock.ts';
import {GuardTask} from './guard-task.ts';

const peerKey = 'test-peer-key-0123456789';
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

function createContext(attemptId: string): CallContext {
	return {
		requestId: 'r-1',
		attemptId,
		service: 'catalogue',
		callName: '*',
		caller: 'anonymous',
		importance: importance.normal,
		deadlineMs: 20_000,
		depth: 1,
		retryAllowance: 0,
		sizeClass: 'short',
		idempotent: true,
		policyVersion: 1,
	};
}

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
	const guard = GuardTask.create(
		{
			identity: {
				server: 'catalogue-1',
				service: 'catalogue',
				dataCentre: 'est-a',
				region: 'qc-est',
				address: '127.0.0.1',
				instanceId: 'i-1',
				startedAtMs: 0,
			},
			backendPort: (backend.address() as AddressInfo).port,
			peerKey,
			logger: Logger.create('test', 'error'),
			metrics: Metrics.create({}),
			createAdmissionController: policy =>
				createAdmissionController(policy, {readNowMs: readMonotonicMs}),
		},
		builtInVersion.document,
	);
	await guard.open({
		listenerName: 'peer',
		address: '127.0.0.1',
		port: 0,
		headerTimeoutMs: 5000,
		requestTimeoutMs: 5000,
		maxHeaderBytes: 16_384,
		maxConnections: 100,
		keepAliveMs: 1000,
	});
	guard.receive({kind: 'policy', policy: {...builtInVersion, version: 1, document}});
	const statuses = await Promise.all(
		Array.from({length: 15}, async (_, index) => {
			const answer = await request(`http://127.0.0.1:${guard.port}/`, {
				headers: {
					...(encodeContext(createContext(`a-${index}`)) as Record<string, string>),
					[headerNames.peerKey]: peerKey,
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
