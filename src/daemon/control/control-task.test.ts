import {randomUUID} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {MemoryTable} from '../../../bench/fakes/memory-table.ts';
import {type GuardState} from '../../call/types.ts';
import {PolicyStore} from '../../policy/policy-store.ts';
import {validatePolicy} from '../../policy/validate.ts';
import {Logger} from '../../reporting/logger.ts';
import {type ControlMessage} from '../messages.ts';
import {ControlTask} from './control-task.ts';

const logger = Logger.create('test', 'error');

/** A control task that listens on the loopback interface. */
class TestDaemon {
	static async start(server: string, table: MemoryTable): Promise<TestDaemon> {
		const listener = createServer();
		await new Promise<void>(resolve => {
			listener.listen(0, '127.0.0.1', resolve);
		});
		const daemon = new TestDaemon(server, table, listener);
		listener.on('request', daemon.control.handleRequest);
		await daemon.control.start();
		return daemon;
	}

	readonly messages: ControlMessage[] = [];
	readonly control: ControlTask;
	state: GuardState = 'serving';

	private constructor(
		server: string,
		table: MemoryTable,
		readonly listener: Server,
	) {
		this.control = ControlTask.create({
			identity: {
				server,
				service: 'catalogue',
				dataCentre: 'est-a',
				region: 'qc-est',
				address: '127.0.0.1',
				instanceId: randomUUID(),
				startedAtMs: Date.now(),
			},
			peerPort: (listener.address() as AddressInfo).port,
			peerKey: 'test-peer-key',
			table,
			logger,
			readGuardState: () => this.state,
			send: message => {
				this.messages.push(message);
			},
			onSuperseded() {
				throw new Error('no other instance has this name');
			},
		});
	}

	findState(server: string): string | undefined {
		return this.control.members.find(member => member.server === server)?.state;
	}

	async stop(): Promise<void> {
		await this.control.stop();
		this.listener.closeAllConnections();
		this.listener.close();
	}
}

async function waitUntil(isMet: () => boolean): Promise<void> {
	while (!isMet()) {
		await wait(20);
	}
}

function createPolicy(slotsPerServer: number) {
	return validatePolicy({services: [{name: 'catalogue', slotsPerServer}]})._unsafeUnwrap();
}

test('daemons discover each other, receive a new policy and remove a daemon that stops', async t => {
	const table = MemoryTable.create();
	const store = PolicyStore.create(table, {readTimeMs: () => 0});
	const daemons = await Promise.all(
		['c-1', 'c-2', 'c-3', 'c-4', 'c-5'].map(async name => TestDaemon.start(name, table)),
	);
	await waitUntil(() => daemons.every(daemon => daemon.control.members.length === 5));
	await store.applyDocument({
		document: createPolicy(7),
		baseVersion: 0,
		changeId: 'a',
		author: 'op',
	});
	await waitUntil(() => daemons.every(daemon => daemon.control.policy.version === 1));
	for (const daemon of daemons) {
		t.is(daemon.control.policy.document.services[0]?.slotsPerServer, 7);
		t.true(daemon.messages.some(message => message.kind === 'policy'));
	}

	const [leaver, ...others] = daemons;
	leaver?.control.leave();
	await waitUntil(() => others.every(daemon => daemon.findState('c-1') === 'leaving'));
	await leaver?.stop();
	await waitUntil(() => others.every(daemon => daemon.findState('c-1') === undefined));
	await Promise.all(others.map(async daemon => daemon.stop()));
	t.is(others.length, 4);
});

test('a new daemon that cannot reach the table starts with the policy version of its peers', async t => {
	const table = MemoryTable.create();
	const store = PolicyStore.create(table, {readTimeMs: () => 0});
	await store.applyDocument({
		document: createPolicy(3),
		baseVersion: 0,
		changeId: 'a',
		author: 'op',
	});
	const first = await TestDaemon.start('c-1', table);
	t.is(first.control.policy.version, 1);
	await waitUntil(() => table.findRow({partition: 'seeds', sort: 'est-a/c-1'}) !== undefined);
	// The table serves the first read, of the seed rows, and is unreachable afterwards.
	let tableRequests = 0;
	table.pickFault = () => (tableRequests++ === 0 ? 'none' : 'unreachable');
	const second = await TestDaemon.start('c-2', table);
	t.is(second.control.policy.version, 1);
	await Promise.all([first.stop(), second.stop()]);
});

test('a daemon that reaches neither the table nor a peer starts with the built-in policy version', async t => {
	const table = MemoryTable.create(() => 'unreachable');
	const daemon = await TestDaemon.start('c-1', table);
	t.is(daemon.control.policy.version, 0);
	await daemon.stop();
});
