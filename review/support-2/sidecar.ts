/** Runs the built sidecar as a process of its own, with the command of the deploy file. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import http from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {findFreePorts} from '../../src/sidecar/link/fixtures.ts';
import {type CaseRecord} from './record.ts';

export const host = '127.0.0.1';
/** Zone of all machines of a case. */
export const zone = 'est-a';
/** Bounds of the small deployments, as the settings name them. */
export const bounds = {drainS: 2.5, recoverS: 15} as const;

/** Parts of the rules in force on the smallest site. */
const contracts = [
	'base',
	'drain',
	'config',
	'cost',
	'retry',
	'recover',
	'pressure',
	'platform',
] as const;

export type SidecarOptions = {
	readonly name: string;
	readonly service: string;
	readonly folder: string;
	readonly storePort: number;
	readonly record: CaseRecord;
	/** Parts of the rules in force beside those of the smallest site. */
	readonly furtherContracts: readonly string[];
};

type PortName = 'caller' | 'ready' | 'control' | 'link' | 'metrics' | 'server';

export class SidecarProcess {
	/**
	 * Writes the settings of a machine; its process is started by `start`.
	 *
	 * @example
	 * const sidecar = await SidecarProcess.create({name: 'a', service: 'front', folder, storePort, record});
	 * await sidecar.start();
	 */
	static async create(options: SidecarOptions): Promise<SidecarProcess> {
		const [caller, ready, control, link, metrics, server] = (await findFreePorts(6)) as [
			number,
			number,
			number,
			number,
			number,
			number,
		];
		const ports = {caller, ready, control, link, metrics, server};
		const file = path.join(options.folder, `${options.name}.yaml`);
		await writeFile(file, formatSettings(options, ports));
		return new SidecarProcess(options, ports, file);
	}

	#child: ChildProcess | undefined;

	private constructor(
		private readonly options: SidecarOptions,
		readonly ports: Readonly<Record<PortName, number>>,
		private readonly settingsFile: string,
	) {}

	get name(): string {
		return this.options.name;
	}

	/** Starts the process; resolves when it answers on its metrics address. */
	async start(): Promise<void> {
		const [program = '', ...args] = readRunCommand();
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(program, args, {
			env: {PATH, HOME, LANG, PRIMROSEVALVE_BOOT: this.settingsFile},
			stdio: ['ignore', 'ignore', 'inherit'],
		});
		this.#child = child;
		this.options.record.add(`sidecar ${this.name}: started, process ${child.pid}`);
		child.on('exit', (code, signal) => {
			this.options.record.add(`sidecar ${this.name}: ended, code ${code}, signal ${signal}`);
		});
		await waitFor(async () => (await requestStatus(this.ports.metrics, '/metrics')) > 0);
	}

	/** Resolves when the readiness check passes. */
	async waitUntilReady(): Promise<void> {
		await waitFor(async () => (await requestStatus(this.ports.ready, '/api/ready')) === 200);
	}

	/** Freezes the process for good, as if its machine had lost power: its connections stay open and silent. */
	goDark(): void {
		this.options.record.add(`sidecar ${this.name}: SIGSTOP`);
		this.#child?.kill('SIGSTOP');
	}

	/** Kills the process without waiting for its end. */
	endNow(): void {
		this.#child?.kill('SIGKILL');
	}

	/** Kills the process and waits for its end. */
	async kill(): Promise<void> {
		const child = this.#child;
		if (child?.exitCode !== null || child.signalCode !== null) {
			return;
		}

		this.options.record.add(`sidecar ${this.name}: SIGKILL`);
		const ended = once(child, 'exit');
		child.kill('SIGKILL');
		await ended;
	}
}

/** Polls a condition every 20 ms. */
export async function waitFor(
	isDone: () => Promise<boolean> | boolean,
	limitMs = 15_000,
): Promise<void> {
	const endsAtMs = performance.now() + limitMs;
	while (performance.now() < endsAtMs) {
		if (await isDone()) {
			return;
		}

		await wait(20);
	}

	throw new Error(`a condition did not hold within ${limitMs} ms`);
}

/** Resolves to the status of a GET request; 0 without an answer. */
async function requestStatus(port: number, target: string): Promise<number> {
	return new Promise(resolve => {
		const request = http.get({host, port, path: target, agent: false, timeout: 1000});
		request.on('response', response => {
			response.resume();
			resolve(response.statusCode ?? 0);
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			resolve(0);
		});
	});
}

/** Reads the command of the deploy file, split at spaces. */
function readRunCommand(): string[] {
	const text = readFileSync('deploy/system.toml', 'utf8');
	const command = /^run = "(?<words>[^"]+)"$/mv.exec(text)?.groups?.words;
	if (command === undefined) {
		throw new Error('deploy/system.toml names no command');
	}

	return command.split(' ');
}

/** Formats settings like those that `fleetbench wire` shows, for a small deployment. */
function formatSettings(
	{name, service, storePort, furtherContracts}: SidecarOptions,
	ports: Readonly<Record<PortName, number>>,
): string {
	const local = (port: number) => `${host}:${port}`;
	return JSON.stringify({
		node_name: `sidecar-${zone}-${name}`,
		role: 'sidecar',
		machine_class: 'sidecar',
		serves: ['sidecar'],
		ip: host,
		zone,
		region: 'qc-est',
		zones: {[zone]: 'qc-est'},
		listen: {
			inbound: local(ports.link),
			outbound: local(ports.caller),
			ready: local(ports.ready),
			control: local(ports.control),
		},
		port_range: [ports.metrics, ports.metrics],
		seeds: [],
		bootstrap: true,
		limits: {cpu_share: 0.54, cores: 2, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0},
		data_dir: null,
		heartbeat_s: 1.5,
		contracts: [...contracts, ...furtherContracts],
		fault_tolerance: {machines: 2, zones: 0, regions: 0},
		bounds: [
			'seed_lag_s=3',
			'reuse_after_s=2',
			'contact_s=4',
			'ack_s=4',
			'catch_up_s=4',
			'drain_s=2.5',
			'grace_s=6',
			'loss_slack_s=0.2',
			'config_s=2.5',
			'rollback_slack_s=0.25',
			'max_skew_s=5',
			'retry_budget_ratio=0.2',
			'budget_window_s=10',
			'budget_slack=49',
			'recover_s=15',
		],
		app_addr: local(ports.server),
		service,
		provider: {
			address: local(storePort),
			form: 'table',
			writes_per_s: 400,
			reads_per_s: 2000,
			tx_s: 0.005,
			partition_writes_s: 200,
			row_bytes: 65_536,
			across: false,
			history_s: 20,
			blob_bytes: 8_388_608,
			blob_s: 0.025,
			blob_mb_s: 80,
		},
	});
}
