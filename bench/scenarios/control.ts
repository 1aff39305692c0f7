/**
 * Scenario `control`: CPU time, memory and I/O that the control traffic between daemons costs each of them, at
 * several fleet sizes with one process per daemon, and the growth per further daemon.
 */
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {type PlatformClients} from '../../src/store/platform-clients.ts';
import {PolicyStore} from '../../src/policy/policy-store.ts';
import {policySchema} from '../../src/policy/schema.ts';
import {BenchProcess} from '../harness/child-process.ts';
import {createBenchPlatformClients, writeDaemonSettings} from '../harness/settings-files.ts';
import {lachancePolicy} from '../lachance.ts';
import {type Metrics, type Scenario} from './types.ts';

const projectRoot = path.resolve(import.meta.dirname, '..', '..');
const daemonScript = path.join(projectRoot, 'dist', 'bin', 'primrosevalved.js');
const standInScript = path.join(projectRoot, 'dist', 'bin', 'primrosevalve-standin.js');
const fleetSizes = [6, 18, 36];
const dataCentres = [
	{region: 'qc-est', dataCentre: 'est-a'},
	{region: 'qc-est', dataCentre: 'est-b'},
	{region: 'qc-ouest', dataCentre: 'ouest-a'},
	{region: 'qc-ouest', dataCentre: 'ouest-b'},
];
const settleMs = 5000;
const measureMs = 5000;
const maxPolicySyncMs = 9000;
const clockTicksPerSecond = 100;
const pageBytes = 4096;
/** The scenario sends no calls, so no backend server listens on this port. */
const unusedPort = 9;

/** Cumulative CPU and I/O counters of a process, and its resident memory. */
type ProcessUsage = {
	readonly cpuSeconds: number;
	readonly ioBytes: number;
	readonly rssBytes: number;
};

function readUsage(pid: number): ProcessUsage {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	const readCount = (name: string) =>
		Number(new RegExp(String.raw`${name}: (\d+)`, 'v').exec(io)?.[1]);
	const statm = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
	return {
		cpuSeconds: (Number(stat[11]) + Number(stat[12])) / clockTicksPerSecond,
		ioBytes: readCount('rchar') + readCount('wchar'),
		rssBytes: Number(statm[1]) * pageBytes,
	};
}

/** Daemon processes of one run and their platform stand-in; daemons are added from size to size. */
class DaemonFleet {
	static async start(): Promise<DaemonFleet> {
		const platform = BenchProcess.start({script: standInScript, args: ['platform']});
		const line = await platform.waitForLine(candidate => 'url' in candidate);
		return new DaemonFleet(platform, String(line.url));
	}

	readonly daemons: BenchProcess[] = [];
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'primrosevalve-control-'));
	readonly #platform: PlatformClients;
	readonly #store: PolicyStore;

	private constructor(
		private readonly platformProcess: BenchProcess,
		private readonly platformUrl: string,
	) {
		this.#platform = createBenchPlatformClients(platformUrl);
		this.#store = PolicyStore.create(this.#platform.table, {readTimeMs: () => Date.now()});
	}

	/** Starts daemons until there are `count`, and waits until all of them are ready. */
	async scaleTo(count: number): Promise<void> {
		const added: BenchProcess[] = [];
		for (let index = this.daemons.length; index < count; index++) {
			const location = dataCentres[index % dataCentres.length]!;
			const spec = {
				...location,
				server: `catalogue-${index}`,
				service: 'catalogue',
				slots: 1,
				maxConnections: 1,
				routes: [],
			};
			const file = writeDaemonSettings(this.#folder, spec, unusedPort, this.platformUrl);
			const args = ['--settings', file];
			const daemon = BenchProcess.start({script: daemonScript, args});
			added.push(daemon);
			this.daemons.push(daemon);
		}

		await Promise.all(
			added.map(async daemon => daemon.waitForLine(line => line.msg === 'daemon is ready')),
		);
	}

	/** Applies a policy and measures the time until every daemon has it in force, in milliseconds. */
	async measurePolicySyncMs(): Promise<number> {
		const head = await this.#store.readHead();
		const {version} = head._unsafeUnwrap();
		const startedAtMs = performance.now();
		const applied = await this.#store.applyDocument({
			document: policySchema.parse(lachancePolicy),
			baseVersion: version,
			changeId: `control-${version + 1}`,
			author: 'bench',
		});
		const newVersion = applied._unsafeUnwrap().version;
		const isInForce = (line: Readonly<Record<string, unknown>>) =>
			line.msg === 'policy in force' && Number(line.version) >= newVersion;
		const inForce = this.daemons.map(async daemon => daemon.waitForLine(isInForce));
		await Promise.race([Promise.all(inForce), wait(2 * maxPolicySyncMs)]);
		return performance.now() - startedAtMs;
	}

	async stop(): Promise<void> {
		const processes = [this.platformProcess, ...this.daemons];
		for (const child of processes) {
			child.kill('SIGKILL');
		}

		for (const child of processes) {
			await child.waitForExit();
		}

		await this.#platform.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/** Measures the mean resource usage per daemon in steady state, then the sync time of a policy change. */
async function measureSize(fleet: DaemonFleet, count: number) {
	await fleet.scaleTo(count);
	await wait(settleMs);
	const before = fleet.daemons.map(daemon => readUsage(daemon.pid));
	const startedAtMs = performance.now();
	await wait(measureMs);
	const seconds = (performance.now() - startedAtMs) / 1000;
	const after = fleet.daemons.map(daemon => readUsage(daemon.pid));
	let cpuSeconds = 0;
	let ioBytes = 0;
	let rssBytes = 0;
	for (const [index, usage] of after.entries()) {
		cpuSeconds += usage.cpuSeconds - (before[index]?.cpuSeconds ?? 0);
		ioBytes += usage.ioBytes - (before[index]?.ioBytes ?? 0);
		rssBytes += usage.rssBytes;
	}

	return {
		daemons: count,
		coreShare: cpuSeconds / seconds / count,
		rssMb: rssBytes / count / 1_000_000,
		bytesPerSecond: ioBytes / seconds / count,
		spreadMs: await fleet.measurePolicySyncMs(),
	};
}

type SizeMetrics = Awaited<ReturnType<typeof measureSize>>;

/** Computes the growth of a metric per further daemon, from the smallest fleet size to the largest. */
function computeSlope(measured: readonly SizeMetrics[], name: keyof SizeMetrics): number {
	const first = measured[0]!;
	const last = measured.at(-1)!;
	return (last[name] - first[name]) / (last.daemons - first.daemons);
}

export const scenario: Scenario = {
	async run({seed}) {
		const fleet = await DaemonFleet.start();
		try {
			const measured: SizeMetrics[] = [];
			for (const count of fleetSizes) {
				measured.push(await measureSize(fleet, count));
			}

			const largest = measured.at(-1)!;
			const metrics: Metrics = {
				...largest,
				coreShareSlope: computeSlope(measured, 'coreShare'),
				rssMbSlope: computeSlope(measured, 'rssMb'),
				bytesPerSecondSlope: computeSlope(measured, 'bytesPerSecond'),
			};
			const isSyncedInTime = measured.every(size => size.spreadMs <= maxPolicySyncMs);
			return {
				scenario: 'control',
				seed,
				premise: {holds: isSyncedInTime, details: {sizes: fleetSizes.join(','), measureMs}},
				variants: {adaptive: metrics},
				sizes: measured,
			};
		} finally {
			await fleet.stop();
		}
	},
};
