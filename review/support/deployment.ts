/** A small deployment on loopback addresses: the store's stand-in, sidecars as processes, and servers beside them. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import {mkdir, mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {RowStoreStandIn} from '../../platform/testing/row-store-stand-in.ts';
import {sendRequest} from './client.ts';
import {findFreePorts} from './ports.ts';
import {ResettingProxy} from './proxy.ts';
import {type CaseRecord} from './record.ts';
import {BackendServer, type ServerPlan} from './server.ts';

export const host = '127.0.0.1';
export const routeHost = 'hulo84.example';

export type RoutePlan = {
	readonly service: string;
	readonly type: 'idempotent' | 'non_idempotent' | 'download';
	/** Five seconds if missing. */
	readonly timeoutS?: number;
};

export type MachinePlan = ServerPlan & {
	readonly name: string;
	readonly region: string;
	/** Whether a proxy stands between the sidecar and the server. */
	readonly hasProxy?: boolean;
};

type Ports = {
	readonly outbound: number;
	readonly inbound: number;
	readonly ready: number;
	readonly control: number;
	readonly metrics: number;
	readonly app: number;
	/** Where the server listens: `app`, or behind the proxy. */
	readonly listen: number;
};

/** One machine: a sidecar process and the server beside it. */
export class Machine {
	static create(plan: MachinePlan, ports: Ports, server: BackendServer): Machine {
		return new Machine(plan, ports, server);
	}

	process: ChildProcess | undefined;
	settingsFile = '';
	proxy: ResettingProxy | undefined;

	private constructor(
		readonly plan: MachinePlan,
		readonly ports: Ports,
		readonly server: BackendServer,
	) {}
}

export class Deployment {
	/** Starts the store with the first configuration. */
	static async start(record: CaseRecord, routes: readonly RoutePlan[]): Promise<Deployment> {
		const folder = await mkdtemp(path.join(tmpdir(), 'primrosevalve-review-'));
		const deployFile = await readFile('deploy/system.toml', 'utf8');
		const command = /^run = "(.+)"$/mv.exec(deployFile)![1]!.split(' ');
		const store = await RowStoreStandIn.start();
		const deployment = new Deployment(record, folder, command, store);
		deployment.writeConfig(3, routes);
		return deployment;
	}

	readonly machines: Machine[] = [];
	#routes: readonly RoutePlan[] = [];

	private constructor(
		private readonly record: CaseRecord,
		private readonly folder: string,
		private readonly command: readonly string[],
		readonly store: RowStoreStandIn,
	) {}

	/** Writes a version of the configuration in the place of the operator; each service has one route. */
	writeConfig(version: number, routes: readonly RoutePlan[]): void {
		this.#routes = routes;
		const config = {
			version,
			routes: routes.map(({service, type, timeoutS = 5}) => ({
				name: `r-${service}`,
				hostname: routeHost,
				prefix: `/${service}/`,
				type,
				timeout_s: timeoutS,
				target_latency_s: 1.5,
				priority: 0,
				service,
				max_attempts: 2,
			})),
			services: routes.map(({service}) => ({
				name: service,
				health_check_path: '/health',
				max_connections: 772,
				protocol: 'h1',
				tls: false,
			})),
			limits: {
				max_header_bytes: 16_384,
				max_body_bytes: 67_108_864,
				header_timeout_s: 3,
				idle_timeout_s: 15,
			},
			base_version: version - 2,
		};
		this.store.writeRow('op', 'config', JSON.stringify(config));
	}

	/** Starts the machines, and waits until each of them reaches each service. */
	async startMachines(plans: readonly MachinePlan[]): Promise<Machine[]> {
		const added: Machine[] = [];
		for (const plan of plans) {
			const [outbound = 0, inbound = 0, ready = 0, control = 0, metrics = 0, app = 0, behind = 0] =
				await findFreePorts(7);
			const listen = plan.hasProxy === true ? behind : app;
			const ports = {outbound, inbound, ready, control, metrics, app, listen};
			const server = BackendServer.create(plan, ports, this.record);
			const machine = Machine.create(plan, ports, server);
			if (plan.hasProxy === true) {
				machine.proxy = await ResettingProxy.start(app, behind);
			}

			machine.settingsFile = path.join(this.folder, `${plan.name}.yaml`);
			await mkdir(this.folder, {recursive: true});
			await writeFile(machine.settingsFile, this.#formatSettings(machine));
			this.machines.push(machine);
			added.push(machine);
		}

		await Promise.all(
			added.map(async machine => {
				await this.startSidecar(machine);
				await machine.server.start();
			}),
		);
		await this.#waitUntilReachable(added);
		return added;
	}

	/** Starts the sidecar of a machine with the command of the deploy file; resolves once it is ready. */
	async startSidecar(machine: Machine): Promise<void> {
		const {PATH, HOME, LANG = 'C.UTF-8'} = process.env;
		const [program, ...words] = this.command;
		const child = spawn(program!, words, {
			env: {PATH, HOME, LANG, PRIMROSEVALVE_BOOT: machine.settingsFile},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(`${machine.settingsFile}.log`, {flags: 'a'});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		machine.process = child;
		child.on('exit', (code, signal) => {
			this.record.write(
				'platform',
				`sidecar of ${machine.plan.name} ended: code ${code}, ${signal}`,
			);
		});
		await this.waitFor(async () => this.isReady(machine));
	}

	/** Asks a sidecar whether it is ready, as the platform does once a second. */
	async isReady({ports}: Machine): Promise<boolean> {
		try {
			const answer = await sendRequest({port: ports.ready, path: '/api/ready', id: ''});
			return answer.status === 200;
		} catch {
			return false;
		}
	}

	async waitFor(isDone: () => Promise<boolean> | boolean, limitMs = 15_000): Promise<void> {
		const endAtMs = performance.now() + limitMs;
		while (!(await isDone())) {
			if (performance.now() > endAtMs) {
				throw new Error('the deployment is not ready in time');
			}

			await wait(50);
		}
	}

	/** Ends all processes and stand-ins. */
	async stop(): Promise<void> {
		for (const {process: child, server, proxy} of this.machines) {
			if (child?.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}

			await server.stop();
			proxy?.stop();
		}

		await this.store.stop();
		if (process.env.KEEP_LOGS === undefined) {
			await rm(this.folder, {recursive: true});
		}
	}

	async #waitUntilReachable(machines: readonly Machine[]): Promise<void> {
		await Promise.all(
			machines.map(async ({plan, ports}) => {
				for (const {service} of this.#routes) {
					await this.waitFor(async () => {
						const id = `warm-${Math.random().toString(16).slice(2)}`;
						const answer = await sendRequest({
							port: ports.outbound,
							path: `/${service}/warm`,
							id,
						});
						return answer.status === 200;
					});
				}

				this.record.write('platform', `${plan.name} reaches all services`);
			}),
		);
	}

	#formatSettings({plan, ports}: Machine): string {
		const {host: storeHost, port: storePort} = this.store.address;
		return `node_name: "${plan.name}"
role: "sidecar"
machine_class: "sidecar"
serves:
  - "sidecar"
ip: "${host}"
zone: "${plan.zone}"
region: "${plan.region}"
zones:
  est-a: "qc-est"
  ouest-a: "qc-ouest"
listen:
  inbound: "${host}:${ports.inbound}"
  outbound: "${host}:${ports.outbound}"
  ready: "${host}:${ports.ready}"
  control: "${host}:${ports.control}"
port_range:
  - ${ports.metrics}
  - ${ports.metrics}
seeds: []
bootstrap: true
in_tolerance: false
limits:
  cpu_share: 0.54
  cores: 2
  memory_mb: 350
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "static"
entry: "static"
heartbeat_s: 1.5
contracts:
  - "base"
  - "drain"
  - "config"
  - "cost"
  - "retry"
  - "recover"
  - "pressure"
  - "platform"
fault_tolerance:
  machines: 2
  zones: 0
  regions: 0
bounds:
  - "seed_lag_s=3"
  - "reuse_after_s=2"
  - "contact_s=4"
  - "ack_s=4"
  - "catch_up_s=4"
  - "drain_s=2.5"
  - "grace_s=6"
  - "loss_slack_s=0.2"
  - "config_s=2.5"
  - "rollback_slack_s=0.25"
  - "max_skew_s=5"
  - "retry_budget_ratio=0.2"
  - "budget_window_s=10"
  - "budget_slack=49"
  - "recover_s=15"
app_addr: "${host}:${ports.app}"
service: "${plan.service}"
provider:
  address: "${storeHost}:${storePort}"
  form: "table"
  writes_per_s: 400
  reads_per_s: 2000
  tx_s: 0.005
  partition_writes_s: 200
  row_bytes: 65536
  across: false
  history_s: 20
`;
	}
}
