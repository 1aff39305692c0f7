/**
 * A backend server that stops within the head of its answer, or writes an earlier answer once more on a kept connection.
 * Guards against answers that look whole and aren't (MIXED, ORDER), and against a run that is denied (REFUSED, TWICE).
 */
import net, {type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {encodeContext, headerNames} from '../../call/headers.ts';
import {createTestContext, startTestGuard, testPeerKey} from './fixtures.ts';
import {type GuardTask} from './guard-task.ts';

/** Handles the n-th request on a connection, from 0; `token` is the context that the request carried. */
type Respond = (socket: net.Socket, index: number, token: string) => void;

async function startGuard(t: ExecutionContext, respond: Respond): Promise<GuardTask> {
	const backend = net.createServer(socket => {
		let index = 0;
		socket.on('data', data => {
			const token = /primrosevalve-context: (\S+)/iv.exec(data.toString())?.[1] ?? '';
			respond(socket, index++, token);
		});
		socket.on('error', () => {
			// The guard may close the connection first.
		});
	});
	await new Promise<void>(resolve => {
		backend.listen(0, '127.0.0.1', resolve);
	});
	const guard = await startTestGuard((backend.address() as AddressInfo).port);
	t.teardown(async () => {
		await guard.close();
		backend.close();
	});
	return guard;
}

let attemptCount = 0;

async function sendCall(guard: GuardTask): Promise<{status: number; outcome: unknown}> {
	const context = createTestContext(`a-${attemptCount++}`);
	const headers = {
		...(encodeContext(context) as Record<string, string>),
		[headerNames.peerKey]: testPeerKey,
	};
	const answer = await request(`http://127.0.0.1:${guard.port}/`, {headers});
	await answer.body.dump();
	return {status: answer.statusCode, outcome: answer.headers[headerNames.outcome]};
}

const encodeAnswer = (status: string, headers = '') =>
	`HTTP/1.1 ${status}\r\n${headers}Content-Length: 4\r\n\r\nbody`;

// MIXED, ORDER: a caller got a 200 with an empty or short body that was framed as whole.
test('an answer that is cut within its head never becomes a success', async t => {
	const whole = encodeAnswer('200 OK', 'X-Other: 1\r\n');
	const headBytes = whole.indexOf('body');
	let cut = 0;
	const guard = await startGuard(t, socket => {
		socket.end(whole.slice(0, cut));
	});
	for (; cut < headBytes; cut++) {
		const {status, outcome} = await sendCall(guard);
		t.true(status >= 500, `${status} for a head of ${cut} bytes`);
		t.is(outcome, 'unknown');
	}
});

// REFUSED, TWICE: a call that the server ran was reported as not run.
test('an earlier refusal once more never denies the run of a call', async t => {
	const refusal = encodeAnswer('503 Full', 'X-Refused: 1\r\nPrimrosevalve-Outcome: notRun\r\n');
	const guard = await startGuard(t, (socket, index) => {
		socket.write(index === 0 ? refusal : `${refusal}${encodeAnswer('200 OK')}`);
	});
	for (let index = 0; index < 6; index++) {
		const {outcome} = await sendCall(guard);
		t.not(outcome, 'notRun');
	}
});

// MIXED: a call got the answer of an earlier one, which the server wrote once more with its context.
test('an answer that echoes the context of another call is not relayed', async t => {
	let earlier = '';
	const guard = await startGuard(t, (socket, index, token) => {
		const answer = encodeAnswer('200 OK', `Primrosevalve-Context: ${token}\r\n`);
		socket.write(index === 0 ? answer : earlier);
		earlier = answer;
	});
	const first = await sendCall(guard);
	t.is(first.status, 200);
	const {status, outcome} = await sendCall(guard);
	t.true(status >= 500, `relayed with ${status}`);
	t.is(outcome, 'unknown');
});
