import {connect} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {smallTestBedSpec} from './harness/small-test-bed.ts';
import {TestBed, type RunningServer} from './harness/test-bed.ts';
import {LoadGenerator} from './load/load-generator.ts';

type EchoBody = {readonly server: string; readonly controlHeaders: readonly string[]};
type Problem = {readonly status: number; readonly outcome: string; readonly reason: string};
type DaemonStatus = {readonly guard: {readonly slotsInUse: number}};

let bed: TestBed;

test.before(async () => {
	bed = await TestBed.start(smallTestBedSpec);
});

test.after.always(async () => {
	await bed?.stop();
});

function createUrl(server: RunningServer, path: string): string {
	return `http://127.0.0.1:${server.ports.caller}${path}`;
}

/** Sends raw text and reads the response until the connection closes. */
async function sendRaw(port: number, text: string): Promise<string> {
	return new Promise((resolve, reject) => {
		const socket = connect({port, host: '127.0.0.1'});
		let response = '';
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			response += chunk;
		});
		socket.on('error', reject);
		socket.on('close', () => {
			resolve(response);
		});
		socket.write(text);
	});
}

async function assertNoSlotInUse(t: ExecutionContext): Promise<void> {
	for (const server of bed.servers) {
		const status = (await bed.readAdmin(server, '/admin/status')) as DaemonStatus;
		t.is(status.guard.slotsInUse, 0);
	}
}

/** Reads a response to its end and returns the length of its body in bytes. */
async function readBodyLength(url: string): Promise<number> {
	const response = await request(url);
	const body = await response.body.arrayBuffer();
	return body.byteLength;
}

test.serial('a call and its nested call pass through entry, guard and server', async t => {
	const response = await request(createUrl(bed.findServer('leaf-est-b'), '/root/page'));
	t.is(response.statusCode, 200);
	const body = (await response.body.json()) as EchoBody;
	t.is(body.server, 'root-est-a');
	t.truthy(response.headers['primrosevalve-request']);
	t.is(response.headers['primrosevalve-version'], '1');
});

test.serial('context headers that a caller sends are ignored and not forwarded', async t => {
	const response = await request(createUrl(bed.findServer('root-est-a'), '/leaf/short'), {
		headers: {
			'primrosevalve-importance': '4',
			'primrosevalve-request': 'forged',
			'primrosevalve-caller': 'inspector',
			'primrosevalve-allowance': '1000',
			'primrosevalve-context': 'forged',
		},
	});
	const body = (await response.body.json()) as EchoBody;
	t.deepEqual(body.controlHeaders.toSorted(), ['primrosevalve-context', 'primrosevalve-deadline']);
	t.not(response.headers['primrosevalve-request'], 'forged');
});

test.serial('the peer port refuses a request without the key', async t => {
	const {peer} = bed.findServer('leaf-est-a').ports;
	const response = await request(`http://127.0.0.1:${peer}/short`, {
		headers: {'primrosevalve-importance': '4'},
	});
	t.is(response.statusCode, 401);
	const problem = (await response.body.json()) as Problem;
	t.is(problem.outcome, 'notRun');
});

test.serial('the local port refuses the context of a call that has ended', async t => {
	const {local} = bed.findServer('leaf-est-a').ports;
	const response = await request(`http://127.0.0.1:${local}/leaf/short`, {
		headers: {'primrosevalve-context': 'gone'},
	});
	t.is(response.statusCode, 409);
	const problem = (await response.body.json()) as Problem;
	t.is(problem.reason, 'parent-ended');
});

test.serial('malformed, oversized and slow requests get a 4xx problem and no slot', async t => {
	const {caller} = bed.findServer('leaf-est-a').ports;
	const malformed = await sendRaw(caller, 'GET / HTTP/1.1\r\nbad header\r\n\r\n');
	t.regex(malformed, /^HTTP\/1\.1 400 /v);
	t.regex(malformed, /application\/problem\+json/v);

	const longHeader = `x-long: ${'a'.repeat(20_000)}`;
	const oversized = await sendRaw(caller, `GET /leaf/short HTTP/1.1\r\n${longHeader}\r\n\r\n`);
	t.regex(oversized, /^HTTP\/1\.1 431 /v);

	const slow = await sendRaw(caller, 'GET /leaf/short HTTP/1.1\r\nhost: a\r\n');
	t.regex(slow, /^HTTP\/1\.1 408 /v);

	const large = await request(createUrl(bed.findServer('leaf-est-a'), '/leaf/echo'), {
		method: 'POST',
		body: 'a'.repeat(2001),
	});
	t.is(large.statusCode, 413);
	const problem = (await large.body.json()) as Problem;
	t.is(problem.outcome, 'notRun');

	const unknown = await request(createUrl(bed.findServer('leaf-est-a'), '/nowhere/short'));
	t.is(unknown.statusCode, 404);
	await unknown.body.dump();
	await assertNoSlotInUse(t);
});

test.serial('a truncated response body of a server is an error at the caller', async t => {
	const leaves = bed.servers.filter(server => server.spec.service === 'leaf');
	await Promise.all(leaves.map(async leaf => bed.setBehaviour(leaf, {truncateShare: 1})));
	await t.throwsAsync(readBodyLength(createUrl(bed.findServer('root-est-a'), '/leaf/short')));
	await Promise.all(leaves.map(async leaf => bed.setBehaviour(leaf, {truncateShare: 0})));
	t.true((await readBodyLength(createUrl(bed.findServer('root-est-a'), '/leaf/short'))) > 0);
});

test.serial('a planned stop under load interrupts no call and ends with exit code 0', async t => {
	const entry = bed.findServer('root-est-a');
	const stopping = bed.findServer('leaf-est-a');
	const load = LoadGenerator.create({
		ports: [entry.ports.caller],
		seed: 1,
		kinds: [
			{name: 'slow', method: 'POST', path: '/leaf/slow', ratePerSecond: 8, timeoutMs: 20_000},
			{
				name: 'echo',
				method: 'POST',
				path: '/leaf/echo',
				body: 'x',
				ratePerSecond: 30,
				timeoutMs: 20_000,
			},
		],
		durationMs: 5000,
	}).run();
	await wait(2500);
	const status = (await bed.readAdmin(stopping, '/admin/status')) as DaemonStatus;
	t.true(status.guard.slotsInUse > 0);
	stopping.daemon.kill('SIGTERM');
	t.is(await stopping.daemon.waitForExit(), 0);
	const {samples} = await load;
	t.true(samples.length > 100);
	t.deepEqual(
		samples.filter(sample => sample.result !== 'whole'),
		[],
	);
	await bed.restartDaemon(stopping);
	await bed.waitForPolicyVersion(1);
});

test.serial(
	'when a daemon is killed during a response, the caller gets an error and no shortened body',
	async t => {
		const entry = bed.findServer('root-est-a');
		const guard = bed.findServer('leaf-est-a');
		const response = await request(createUrl(entry, '/leaf/stream'));
		const body = response.body.arrayBuffer();
		guard.daemon.kill('SIGKILL');
		await guard.daemon.waitForExit();
		await t.throwsAsync(body);
		await bed.restartDaemon(guard);
		await bed.waitForPolicyVersion(1);
		t.is(await readBodyLength(createUrl(entry, '/leaf/stream')), 100_000);
	},
);
