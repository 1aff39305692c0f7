/** Pattern: more requests than slots, of different rank and patience, and a server that leaves. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {type ExchangeListener} from '../link/exchange.ts';
import {type CallHead, type RefusalReason} from '../link/messages.ts';
import {type HeadCodec, type ServerAnswerHead} from '../types.ts';
import {Guard} from './guard.ts';
import {LocalServer} from './local-server.ts';
import {type ConnectionListener} from './server-connection.ts';

const answer: ServerAnswerHead = {
	requestId: undefined,
	status: 200,
	isNotRun: false,
	isMisdirected: false,
	closes: false,
	keepAliveMs: undefined,
	headers: [],
};
const codec: HeadCodec = {
	serverIdHeader: 'id',
	decodeRequest: () => ({requestId: '', deadlineMs: undefined, headers: []}),
	encodeServerRequest: () => '',
	decodeAnswer: () => answer,
};

type Run = {readonly requestId: string; readonly listener: ConnectionListener};

/** A guard before a server with two slots that answers when the test says so. */
class Scene {
	readonly runs: Run[] = [];
	readonly refused = new Map<string, RefusalReason>();
	readonly server = LocalServer.create(2500);
	readonly guard: Guard;
	#finished = 0;

	constructor() {
		this.server.adopt({id: 'i-1', service: 'shop', slots: 2}, performance.now());
		this.guard = Guard.create({
			server: this.server,
			pool: {
				acquire: requestId => this.#connect(requestId),
				closeIdleBefore() {
					// Connections are not kept here.
				},
			},
			codec,
			incarnation: 'g1',
			readMember: () => undefined,
			events: {
				handleArrival() {
					// Not counted here.
				},
				handleStart() {
					// Not counted here.
				},
				handleUnreachable() {
					// The server always accepts.
				},
				handleOutcome() {
					// The listeners tell.
				},
			},
		});
	}

	ask(requestId: string, more: Partial<CallHead> = {}): void {
		const head: CallHead = {
			nonce: requestId,
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
			isInner: false,
			isRepeat: false,
			...more,
		};
		this.guard.accept(head, Buffer.alloc(0), this.#createListener(requestId));
	}

	/** Ends the oldest run with an answer. */
	async finishOne(): Promise<void> {
		const run = this.runs[this.#finished++]!;
		run.listener.handleHead(answer);
		run.listener.handleEnd();
		await Promise.resolve();
	}

	listRuns(): string[] {
		return this.runs.map(run => run.requestId);
	}

	#createListener(requestId: string): ExchangeListener {
		return {
			handleNews() {
				// News don't matter here.
			},
			handleAnswer() {
				// The runs tell.
			},
			handleData() {
				// Answers are whole here.
			},
			handleEnd() {
				// Answers are whole here.
			},
			handleRefusal: head => {
				this.refused.set(requestId, head.reason);
			},
			handleFailure() {
				// Nothing fails here.
			},
		};
	}

	#connect(_requestId: string) {
		return {
			send: (request: {requestId: string}, listener: ConnectionListener) => {
				this.runs.push({requestId: request.requestId, listener});
			},
			sendChunk: () => true,
			sendLastChunk() {
				// Bodies are whole here.
			},
			setPaused() {
				// Answers are whole here.
			},
			close() {
				// Nothing is cancelled here.
			},
		};
	}
}

test('calls of admitted work go first, then the rank, then the one that must answer earliest', async t => {
	const scene = new Scene();
	scene.ask('first');
	scene.ask('patient', {remainingMs: 9000});
	scene.ask('hasty', {remainingMs: 4000});
	scene.ask('important', {priority: 0});
	scene.ask('inner', {isInner: true});
	for (let index = 0; index < 4; index++) {
		await scene.finishOne();
	}

	t.deepEqual(scene.listRuns(), ['first', 'inner', 'important', 'hasty', 'patient']);
});

test('a request that would wait too long is refused at once', t => {
	const scene = new Scene();
	scene.guard.serviceMs = 1000;
	scene.ask('first');
	scene.ask('waits');
	scene.ask('hasty', {remainingMs: 500});
	t.is(scene.refused.get('hasty'), 'full');
	t.false(scene.refused.has('waits'));
});

test('a request that has waited too long is refused while its caller has time left', async t => {
	const scene = new Scene();
	scene.ask('first');
	scene.ask('waits', {remainingMs: 600});
	await new Promise(resolve => {
		setTimeout(resolve, 450);
	});
	t.is(scene.refused.get('waits'), 'late');
});

test('a request for another server, or one that leaves, is refused', t => {
	const scene = new Scene();
	scene.ask('stale', {serverId: 'i-0'});
	scene.ask('other', {service: 'orders'});
	t.is(scene.refused.get('stale'), 'wrongServer');
	t.is(scene.refused.get('other'), 'wrongServer');
	const leftAtMs = performance.now() - 2000;
	scene.server.apply({kind: 'leave', id: 'i-1', bornMs: undefined}, leftAtMs);
	scene.ask('late');
	t.is(scene.refused.get('late'), 'leaving');
	t.is(scene.runs.length, 0);
});

test('a stopping guard starts nothing, and lets what runs end', async t => {
	const scene = new Scene();
	scene.ask('first');
	scene.ask('waits');
	scene.guard.isStopping = true;
	scene.ask('late');
	t.is(scene.refused.get('late'), 'stopping');
	await scene.finishOne();
	t.is(scene.refused.get('waits'), 'stopping');
	t.is(scene.guard.countActive(), 0);
});
