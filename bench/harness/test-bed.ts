/**
 * Runs the platform stand-in, backend servers and daemons as child processes and applies a policy
 * to them.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {type BackendBehaviour, type BackendOptions} from '../../stand-ins/backend/types.ts';
import {type PlatformClients} from '../../src/store/platform-clients.ts';
import {PolicyStore} from '../../src/policy/policy-store.ts';
import {policySchema, type PolicyInput} from '../../src/policy/schema.ts';
import {type PolicyVersion} from '../../src/policy/types.ts';
import {BenchProcess} from './child-process.ts';
import {
	benchKeys,
	createBenchPlatformClients,
	writeDaemonSettings,
	writeOperatorSettings,
} from './settings-files.ts';
import {type ServerSpec, type TestBedSpec} from './types.ts';

const projectRoot = path.resolve(import.meta.dirname, '..', '..');
const daemonScript = path.join(projectRoot, 'dist', 'bin', 'primrosevalved.js');
const standInScript = path.join(projectRoot, 'dist', 'bin', 'primrosevalve-standin.js');
const pollMs = 100;
const readyTimeoutMs = 20_000;

/** Ports of a daemon, as its log line `daemon is ready` reports them. */
type Ports = {
	readonly caller: number;
	readonly peer: number;
	readonly admin: number;
	readonly local: number;
};

/** A backend server and its daemon, both running. */
export type RunningServer = {
	readonly spec: ServerSpec;
	readonly backend: BenchProcess;
	readonly backendPort: number;
	daemon: BenchProcess;
	ports: Ports;
};

/** Owns the child processes and the temporary folder of one run. */
export class TestBed {
	/**
	 * Starts all processes and waits until every daemon knows all members and has applied the policy.
	 *
	 * @example
	 * const bed = await TestBed.start(spec);
	 * await bed.stop();
	 */
	static async start(spec: TestBedSpec): Promise<TestBed> {
		const folder = mkdtempSync(path.join(tmpdir(), 'primrosevalve-'));
		const platform = BenchProcess.start({script: standInScript, args: ['platform']});
		const line = await platform.waitForLine(candidate => 'url' in candidate);
		const bed = new TestBed(spec, folder, platform, String(line.url));
		try {
			await bed.#startServers();
			await bed.applyPolicy(spec.policy);
		} catch (error) {
			await bed.stop();
			throw error;
		}

		return bed;
	}

	readonly servers: RunningServer[] = [];
	readonly platform: PlatformClients;
	readonly #store: PolicyStore;

	private constructor(
		readonly spec: TestBedSpec,
		private readonly folder: string,
		private readonly platformProcess: BenchProcess,
		readonly platformUrl: string,
	) {
		this.platform = createBenchPlatformClients(platformUrl);
		this.#store = PolicyStore.create(this.platform.table, {readTimeMs: () => Date.now()});
	}

	/** Finds a server by name; throws if the test bed has none of that name. */
	findServer(name: string): RunningServer {
		const found = this.servers.find(server => server.spec.server === name);
		if (found === undefined) {
			throw new Error(`test bed has no server named "${name}"`);
		}

		return found;
	}

	/** Lists the caller ports of the daemons in one data centre, or in all of them by default. */
	listCallerPorts(dataCentre?: string): number[] {
		const ports: number[] = [];
		for (const server of this.servers) {
			if (dataCentre === undefined || server.spec.dataCentre === dataCentre) {
				ports.push(server.ports.caller);
			}
		}

		return ports;
	}

	/** Stores a new policy version and waits until every daemon has applied it. */
	async applyPolicy(input: PolicyInput): Promise<PolicyVersion> {
		const readHead = await this.#store.readHead();
		const head = readHead._unsafeUnwrap();
		const applied = await this.#store.applyDocument({
			document: policySchema.parse(input),
			baseVersion: head.version,
			changeId: `bench-${head.version + 1}`,
			author: 'bench',
		});
		const version = applied._unsafeUnwrap();
		await this.waitForPolicyVersion(version.version);
		return version;
	}

	/** Waits until every daemon has applied at least this policy version and knows all members. */
	async waitForPolicyVersion(version: number): Promise<void> {
		for (const server of this.servers) {
			await this.#waitForServer(server, version);
		}
	}

	/** Changes the behaviour of a backend server while it runs. */
	async setBehaviour(server: RunningServer, change: Partial<BackendBehaviour>): Promise<void> {
		const response = await request(`http://127.0.0.1:${server.backendPort}/stand-in/behaviour`, {
			method: 'POST',
			body: JSON.stringify(change),
		});
		await response.body.dump();
	}

	/** Reads a JSON page from a daemon's administration port. */
	async readAdmin(server: RunningServer, page: string): Promise<unknown> {
		const response = await request(`http://127.0.0.1:${server.ports.admin}${page}`, {
			headers: {'primrosevalve-admin-key': benchKeys.admin},
		});
		return response.body.json();
	}

	/** Starts a new daemon for a backend server whose daemon has exited. The new daemon chooses its ports anew. */
	async restartDaemon(server: RunningServer): Promise<void> {
		const {daemon, ports} = await this.#startDaemon(server.spec, server.backendPort);
		server.daemon = daemon;
		server.ports = ports;
		await this.setBehaviour(server, {localPort: ports.local});
	}

	/**
	 * Writes a settings file for the operators' tools.
	 *
	 * @returns path of the file
	 */
	writeOperatorSettings(): string {
		const adminPorts = this.servers.map(server => server.ports.admin);
		return writeOperatorSettings(this.folder, adminPorts, this.platformUrl);
	}

	/** Kills all child processes, waits for their exit and deletes the temporary folder. */
	async stop(): Promise<void> {
		const processes = [this.platformProcess];
		for (const server of this.servers) {
			processes.push(server.daemon, server.backend);
		}

		for (const child of processes) {
			child.kill('SIGKILL');
		}

		for (const child of processes) {
			await child.waitForExit();
		}

		await this.platform.close();
		rmSync(this.folder, {recursive: true, force: true});
	}

	async #startServers(): Promise<void> {
		const started = this.spec.servers.map(async (spec, index) => this.#startServer(spec, index));
		this.servers.push(...(await Promise.all(started)));
	}

	async #startServer(spec: ServerSpec, index: number): Promise<RunningServer> {
		const options: BackendOptions = {
			server: spec.server,
			port: 0,
			slots: spec.slots,
			maxConnections: spec.maxConnections,
			seed: this.spec.seed + index,
			routes: spec.routes,
		};
		const backend = BenchProcess.start({
			script: standInScript,
			args: ['backend', '--options', JSON.stringify(options)],
		});
		const line = await backend.waitForLine(candidate => 'port' in candidate);
		const backendPort = Number(line.port);
		const {daemon, ports} = await this.#startDaemon(spec, backendPort);
		const server: RunningServer = {spec, backend, backendPort, daemon, ports};
		await this.setBehaviour(server, {localPort: ports.local});
		return server;
	}

	async #startDaemon(spec: ServerSpec, backendPort: number) {
		const file = writeDaemonSettings(this.folder, spec, backendPort, this.platformUrl);
		const daemon = BenchProcess.start({
			script: daemonScript,
			args: ['--settings', file],
		});
		const line = await daemon.waitForLine(candidate => candidate.msg === 'daemon is ready');
		return {daemon, ports: line as unknown as Ports};
	}

	async #waitForServer(server: RunningServer, version: number): Promise<void> {
		for (let waitedMs = 0; waitedMs < readyTimeoutMs; waitedMs += pollMs) {
			const status = (await this.readAdmin(server, '/admin/status')) as {policy: {version: number}};
			const members = (await this.readAdmin(server, '/admin/members')) as unknown[];
			if (status.policy.version >= version && members.length >= this.servers.length) {
				return;
			}

			await wait(pollMs);
		}

		throw new Error(
			`daemon of "${server.spec.server}" did not apply policy version ${version} and learn all ${this.servers.length} members within ${readyTimeoutMs} ms`,
		);
	}
}
