/** Guards against a sender of messages that makes a sidecar ask its server without end. */
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {testReport} from './guard/fixtures.ts';
import {ServerVerifier} from './server-verifier.ts';

const unconfirmed = {message: {kind: 'report', report: testReport}, sender: ''} as const;

test('a server is asked once about many messages, and those beyond a limit are dropped', async t => {
	let probeCount = 0;
	const settled: string[] = [];
	const verifier = ServerVerifier.create({
		async probe() {
			probeCount++;
			await wait(20);
			return {kind: 'healthy', serverId: 'i-1'};
		},
		findHealthPath: () => '/health',
		settle(_, witness) {
			settled.push(witness.kind);
		},
	});
	t.teardown(() => {
		verifier.close();
	});
	const accepted = Array.from({length: 100}, () => verifier.submit(unconfirmed, 'shop'));
	t.is(accepted.filter(Boolean).length, 16);
	await wait(100);
	t.is(settled.length, 16);
	t.is(probeCount, 1);
	verifier.submit(unconfirmed, 'shop');
	await wait(50);
	t.is(probeCount, 1);
});

test('a message waits for a configuration that names the health path, but not for long', async t => {
	let path: string | undefined;
	const settled: string[] = [];
	const verifier = ServerVerifier.create({
		probe: async () => ({kind: 'healthy', serverId: 'i-1'}),
		findHealthPath: () => path,
		settle(_, witness) {
			settled.push(witness.kind);
		},
	});
	t.teardown(() => {
		verifier.close();
	});
	verifier.submit(unconfirmed, 'shop');
	await wait(100);
	t.deepEqual(settled, []);
	path = '/health';
	await wait(300);
	t.deepEqual(settled, ['healthy']);
	path = undefined;
	verifier.submit(unconfirmed, 'shop');
	await wait(1000);
	t.deepEqual(settled, ['healthy', 'unasked']);
});
