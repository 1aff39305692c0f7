/** Test fixtures: request heads, a codec, and a guard in front of a fake server. */
import {Buffer} from 'node:buffer';
import {formatNonce} from '../../once/nonce.ts';
import {immediateQueue} from '../link/fixtures.ts';
import {type CallHead} from '../link/messages.ts';
import {type HeadCodec, type Member, type ServerAnswerHead, type ServerReport} from '../types.ts';
import {Guard} from './guard.ts';
import {type CallConnection} from './call-owner.ts';
import {LocalServer} from './local-server.ts';
import {type ServerExpectation} from './local-server-state.ts';
import {type ConnectionListener} from './connection-events.ts';

export const testIncarnation = 'g1';

export const testMember: Member = {
	instance: 'beside',
	link: {host: '10.0.0.1', port: 1},
	dataCentre: 'a',
	region: 'r',
	service: 'shop',
	serverId: 'i-1',
	slots: 1,
	state: 'ready',
	epoch: 1,
};

/** What the settings of the test sidecar say of its server. */
export const testExpectation: ServerExpectation = {
	address: {host: '10.0.0.1', port: 2},
	dataCentre: 'a',
	readService: () => 'shop',
	isConfigured: service => service === 'shop' || service === 'other',
};

/** A report of the test server, which is started at 1000. */
export const testReport: ServerReport = {
	id: 'i-1',
	service: 'shop',
	address: testExpectation.address,
	dataCentre: 'a',
	slots: 100,
	isLeaving: false,
	sequence: 5,
	warmupMs: 0,
	startedAtMs: 1000,
};

/** Applies a report; a server that is asked confirms the id. */
export function applyConfirmed(server: LocalServer, report: ServerReport, nowMs: number): void {
	const message = {kind: 'report', report} as const;
	if (server.apply(message, nowMs).kind === 'unconfirmed') {
		server.settle(message, {kind: 'healthy', serverId: report.id}, nowMs);
	}
}

export const testAnswer: ServerAnswerHead = {
	requestId: undefined,
	status: 200,
	isNotRun: false,
	isMisdirected: false,
	closesConnection: false,
	isLeaving: false,
	keepAliveMs: undefined,
	limit: {kind: 'none'},
	headers: [],
};

/** Creates a codec that encodes nothing and decodes answers with the given function. */
export function createTestCodec(
	decodeAnswer: HeadCodec['decodeAnswer'] = () => testAnswer,
): HeadCodec {
	return {
		serverIdHeader: 'id',
		decodeRequest: () => ({requestId: '', deadlineMs: undefined, headers: []}),
		encodeServerRequest: () => '',
		decodeAnswer,
	};
}

/** Creates the nonce of a test request. */
export function createTestNonce(requestId: string): string {
	const digits = Buffer.from(requestId).toString('hex').padEnd(16, '0');
	return formatNonce(0, digits);
}

/** Creates the head of a request to the test server with 5 s left. */
export function createTestHead(requestId: string, more: Partial<CallHead> = {}): CallHead {
	return {
		nonce: createTestNonce(requestId),
		requestId,
		method: 'GET',
		path: '/',
		headers: [],
		remainingMs: 5000,
		service: 'shop',
		serverId: 'i-1',
		callerService: 'shop',
		route: 'r',
		isOnce: false,
		priority: 2,
		isWhole: true,
		isNested: false,
		isPatient: false,
		serverLimitPerSecond: 0,
		digest: '0123456789abcdef',
		...more,
	};
}

/** A request that has reached the fake server; the test ends it through the listener. */
export type ServerRun = {
	readonly requestId: string;
	readonly listener: ConnectionListener;
	isOpen: boolean;
};

function ignore(): void {
	// Tests do not check these calls.
}

/** Creates a connection that records each request in `runs`; closing it does not end the run. */
function createConnection(runs: ServerRun[]): CallConnection {
	return {
		send(request, listener) {
			runs.push({requestId: request.requestId, listener, isOpen: true});
		},
		sendChunk: ignore,
		sendLastChunk: ignore,
		setPaused: ignore,
		close: ignore,
	};
}

/** Creates a guard in front of a fake server with the given slots; `runs` lists the requests sent to it. */
export function createTestGuard(
	slots: number,
	readSuspended = () => 0,
): {
	guard: Guard;
	server: LocalServer;
	runs: ServerRun[];
} {
	const runs: ServerRun[] = [];
	const server = LocalServer.create(2500, testExpectation);
	server.restore({id: 'i-1', service: 'shop', slots, startedAtMs: 0}, performance.now());
	const guard = Guard.create({
		server,
		pool: {acquire: () => createConnection(runs), closeIdleBefore: ignore},
		codec: createTestCodec(),
		incarnation: testIncarnation,
		runQueue: immediateQueue,
		readSuspended,
		readMember: () => testMember,
		checkEnded: async () => 'none',
		isQuarantined: () => false,
		events: {
			handleArrival: ignore,
			handleStart: ignore,
			handleUnreachable: ignore,
			handleOutcome: ignore,
		},
	});
	return {guard, server, runs};
}
