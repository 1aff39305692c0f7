import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {headerNames} from '../../call/headers.ts';
import {type Member} from '../../membership/types.ts';
import {policySchema} from '../../policy/schema.ts';
import {Logger} from '../../reporting/logger.ts';
import {Metrics} from '../../reporting/metrics.ts';
import {ServiceRouter} from '../../routing/service-router.ts';
import {RunningCalls} from '../guard/running-calls.ts';
import {type ListenerOptions} from '../http/listener.ts';
import {EntryTask} from './entry-task.ts';

const policy = policySchema.parse({
	services: [
		{
			name: 'catalogue',
			calls: [
				{name: 'order', method: 'POST', path: '/*', deadlineMs: 20_000},
				{name: 'status', path: '/*', hedge: true, deadlineMs: 20_000},
			],
		},
	],
	anonymous: {allowed: true},
});

const listener: ListenerOptions = {
	listenerName: 'test',
	address: '127.0.0.1',
	port: 0,
	headerTimeoutMs: 10_000,
	requestTimeoutMs: 10_000,
	maxHeaderBytes: 16_384,
	maxConnections: 100,
	keepAliveMs: 1000,
};

/** Handles the requests for one path at both guards; `nth` counts them over both. */
type GuardHandler = (nth: number, req: IncomingMessage, res: ServerResponse) => void;

function answerWith(res: ServerResponse, req: IncomingMessage, headers: Record<string, string>) {
	res.writeHead(200, {
		[headerNames.attempt]: String(req.headers[headerNames.attempt]),
		[headerNames.allowanceLeft]: '0',
		...headers,
	});
	res.end(`answer to ${String(req.headers[headerNames.request])}`);
}

const refusal = {[headerNames.outcome]: 'notRun', [headerNames.reason]: 'overload'};

const guardHandlers: Readonly<Record<string, GuardHandler>> = {
	'/plain'(_nth, req, res) {
		answerWith(res, req, {});
	},
	/** The first request is never answered. */
	'/hangs'(nth, req, res) {
		if (nth > 1) {
			answerWith(res, req, {});
		}
	},
	/** The first request is accepted and its connection closed; further ones are refused. */
	'/lost'(nth, req, res) {
		if (nth === 1) {
			res.destroy();
			return;
		}

		answerWith(res, req, refusal);
	},
	'/refused'(_nth, req, res) {
		answerWith(res, req, refusal);
	},
	/** The server fails because a child call was refused for overload. */
	'/shed-below'(_nth, req, res) {
		res.writeHead(502, {
			[headerNames.attempt]: String(req.headers[headerNames.attempt]),
			[headerNames.allowanceLeft]: '0',
			[headerNames.overloadedBelow]: '1',
		});
		res.end();
	},
	/** The server fails for a reason of its own. */
	'/fails'(_nth, req, res) {
		res.writeHead(502, {
			[headerNames.attempt]: String(req.headers[headerNames.attempt]),
			[headerNames.allowanceLeft]: '0',
		});
		res.end();
	},
	'/refused-once'(nth, req, res) {
		answerWith(res, req, nth === 1 ? refusal : {});
	},
};

type Harness = {
	readonly counts: Map<string, number>;
	readonly call: (
		method: 'GET' | 'POST',
		path: string,
	) => Promise<{status: number; text: string; outcome: string | undefined}>;
};

/** Starts an entry and two stand-in guards in this process. */
async function startHarness(t: ExecutionContext): Promise<Harness> {
	const counts = new Map<string, number>();
	const guards: Server[] = [];
	const members: Member[] = [];
	for (const server of ['s1', 's2']) {
		const guard = createServer((req, res) => {
			const path = req.url ?? '';
			const nth = (counts.get(path) ?? 0) + 1;
			counts.set(path, nth);
			guardHandlers[path]?.(nth, req, res);
		});
		guard.listen(0, '127.0.0.1');
		await once(guard, 'listening');
		guards.push(guard);
		members.push({
			server,
			service: 'catalogue',
			dataCentre: 'est-a',
			region: 'qc-est',
			address: '127.0.0.1',
			peerPort: (guard.address() as AddressInfo).port,
			instanceId: `${server}-1`,
			startedAtMs: 0,
			incarnation: 0,
			state: 'serving',
			policyVersion: 1,
		});
	}

	const identity = {...members[0]!, service: 'front', server: 'front-1'};
	const entry = EntryTask.create(
		{
			identity,
			peerKey: 'peer-key',
			logger: Logger.create('test', 'error'),
			metrics: Metrics.create({}),
			router: ServiceRouter.create({dataCentre: 'est-a', region: 'qc-est', random: () => 0}),
			running: RunningCalls.create(),
		},
		{
			version: 1,
			digest: '',
			previousDigest: '',
			changeId: '',
			author: '',
			appliedAtMs: 0,
			document: policy,
		},
	);
	await entry.open(listener, listener);
	entry.receive({kind: 'members', members});
	t.teardown(async () => {
		for (const guard of guards) {
			guard.closeAllConnections();
			guard.close();
		}

		await entry.closeCallerListener();
		await entry.close();
	});
	return {
		counts,
		async call(method, path) {
			const url = `http://127.0.0.1:${entry.callerPort}/catalogue${path}`;
			const answer = await request(url, {method, reset: true});
			const outcome = answer.headers[headerNames.outcome];
			return {
				status: answer.statusCode,
				text: await answer.body.text(),
				outcome: typeof outcome === 'string' ? outcome : undefined,
			};
		},
	};
}

test('a late idempotent call is hedged once and gets a complete answer', async t => {
	const harness = await startHarness(t);
	for (let run = 0; run < 25; run += 1) {
		await harness.call('GET', '/plain');
	}

	const answer = await harness.call('GET', '/hangs');
	t.is(answer.status, 200);
	t.regex(answer.text, /^answer to /v);
	t.is(harness.counts.get('/hangs'), 2);
});

test('a refusal after a lost answer is not reported as notRun', async t => {
	const harness = await startHarness(t);
	const answer = await harness.call('GET', '/lost');
	t.is(answer.status, 502);
	t.is(answer.outcome, 'unknown');
	t.true((harness.counts.get('/lost') ?? 0) > 1);
});

test('a call that is not idempotent is not retried after its answer is lost', async t => {
	const harness = await startHarness(t);
	const answer = await harness.call('POST', '/lost');
	t.is(answer.outcome, 'unknown');
	t.is(harness.counts.get('/lost'), 1);
});

test('a refused call is retried on the other server, even if it is not idempotent', async t => {
	const harness = await startHarness(t);
	const answer = await harness.call('POST', '/refused-once');
	t.is(answer.status, 200);
	t.is(harness.counts.get('/refused-once'), 2);
});

test('a call that every server refuses for overload is sent once to each', async t => {
	const harness = await startHarness(t);
	const answer = await harness.call('GET', '/refused');
	t.is(answer.status, 503);
	t.is(answer.outcome, 'notRun');
	t.is(harness.counts.get('/refused'), 2);
});

test('a call that failed because a child call was refused for overload is not retried', async t => {
	const harness = await startHarness(t);
	const shed = await harness.call('GET', '/shed-below');
	t.is(shed.status, 502);
	t.is(harness.counts.get('/shed-below'), 1);
	await harness.call('GET', '/fails');
	t.true((harness.counts.get('/fails') ?? 0) > 1);
});
