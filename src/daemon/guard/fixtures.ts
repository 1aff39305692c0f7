/** Test fixtures: a call context, and a guard in front of a backend server. */
import {createAdmissionController} from '../../admission/create-admission-controller.ts';
import {importance, type CallContext} from '../../call/types.ts';
import {builtInVersion} from '../../policy/built-in.ts';
import {Logger} from '../../reporting/logger.ts';
import {Metrics} from '../../reporting/metrics.ts';
import {readMonotonicMs} from '../clock.ts';
import {GuardTask} from './guard-task.ts';

export const testPeerKey = 'test-peer-key-0123456789';

/** Creates the context of an attempt of a call of the service `catalogue`. */
export function createTestContext(attemptId: string): CallContext {
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

/** Starts a guard that listens on a free port of the loopback address. */
export async function startTestGuard(backendPort: number): Promise<GuardTask> {
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
			backendPort,
			peerKey: testPeerKey,
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
	return guard;
}
