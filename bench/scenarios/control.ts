/**
 * Scenario `control`: what the exchange between daemons costs each of them, at several numbers of
 * daemons as processes, and the slopes from one number to the next.
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
import {createBenchPlatform, writeDaemonSettings} from '../harness/settings-files.ts';
import {lachancePolicy} from '../lachance.ts';
import {type Figures, type Scenario} from './types.ts';

const projectRoot = path.resolve(import.meta.dirname, '..', '..');
const daemonScript = path.join(projectRoot, 'dist', 'bin', 'primrosevalved.js');
const standInScript = path.join(projectRoot, 'dist', 'bin', 'primrosevalve-standin.js');
const sizes = [6, 18, 36];
const dataCentres = [
	{region: 'qc-est', dataCentre: 'est-a'},
	{region: 'qc-est', dataCentre: 'est-b'},
	{region: 'qc-ouest', dataCentre: 'ouest-a'},
	{region: 'qc-ouest', dataCentre: 'ouest-b'},
];
const settleMs = 5000;
const measureMs = 5000;
const spreadLimitMs = 9000;
const ticksPerSecond = 100;
const pageBytes = 4096;
/** No call is made, so no backend server has to listen here. */
const unusedPort = 9;

/** Counters of a process that only grow, and its memory. */
type Usage = {readonly cpuSeconds: number; readonly ioBytes: number; readonly rssBytes: number};

function readUsage(pid: number): Usage {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	const readCount = (name: string) =>
		Number(new RegExp(String.raw`${name}: (\d+)`, 'v').exec(io)?.[1]);
	const statm = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
	return {
		cpuSeconds: (Number(stat[11]) + Number(stat[12])) / ticksPerSecond,
		ioBytes: readCount('rchar') + readCount('wchar'),
		rssBytes: Number(statm[1]) * pageBytes,
	};
}

/** Daemons of one run; more are added from size to size. */
class ControlBed {
	static async start(): Promise<ControlBed> {
		const platform = BenchProcess.start({script: standInScript, args: ['platform']});
		const line = await platform.waitForLine(candidate => 'url' in candidate);
		return new ControlBed(platform, String(line.url));
	}

	readonly daemons: BenchProcess[] = [];
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'primrosevalve-control-'));
	readonly #platform: PlatformClients;
	readonly #store: PolicyStore;

	private constructor(
		private readonly platformProcess: BenchProcess,
		private readonly platformUrl: string,
	) {
		this.#platform = createBenchPlatform(platformUrl);
		this.#store = PolicyStore.create(this.#platform.table, {readTimeMs: () => Date.now()});
	}

	/** Starts daemons until there are `count`, and waits until each is ready. */
	async grow(count: number): Promise<void> {
		const added: BenchProcess[] = [];
		for (let index = this.daemons.length; index < count; index++) {
			const place = dataCentres[index % dataCentres.length]!;
			const spec = {
				...place,
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

	/** Applies a policy and measures the time until the last daemon has it in force. */
	async measureSpreadMs(): Promise<number> {
		const readHead = await this.#store.readHead();
		const {version} = readHead._unsafeUnwrap();
		const startedAtMs = performance.now();
		const applied = await this.#store.applyDocument({
			document: policySchema.parse(lachancePolicy),
			baseVersion: version,
			changeId: `control-${version + 1}`,
			author: 'bench',
		});
		const next = applied._unsafeUnwrap().version;
		const isInForce = (line: Readonly<Record<string, unknown>>) =>
			line.msg === 'policy in force' && Number(line.version) >= next;
		const inForce = this.daemons.map(async daemon => daemon.waitForLine(isInForce));
		await Promise.race([Promise.all(inForce), wait(2 * spreadLimitMs)]);
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

/** Measures the mean cost of a daemon over a quiet time, and the spread of one change after it. */
async function measureSize(bed: ControlBed, count: number) {
	await bed.grow(count);
	await wait(settleMs);
	const before = bed.daemons.map(daemon => readUsage(daemon.pid));
	const startedAtMs = performance.now();
	await wait(measureMs);
	const seconds = (performance.now() - startedAtMs) / 1000;
	const after = bed.daemons.map(daemon => readUsage(daemon.pid));
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
		spreadMs: await bed.measureSpreadMs(),
	};
}

type SizeFigures = Awaited<ReturnType<typeof measureSize>>;

/** Growth of a figure for each further daemon, from the smallest size to the largest. */
function computeSlope(measured: readonly SizeFigures[], name: keyof SizeFigures): number {
	const first = measured[0]!;
	const last = measured.at(-1)!;
	return (last[name] - first[name]) / (last.daemons - first.daemons);
}

export const scenario: Scenario = {
	async run({seed}) {
		const bed = await ControlBed.start();
		try {
			const measured: SizeFigures[] = [];
			for (const count of sizes) {
				measured.push(await measureSize(bed, count));
			}

			const largest = measured.at(-1)!;
			const figures: Figures = {
				...largest,
				coreShareSlope: computeSlope(measured, 'coreShare'),
				rssMbSlope: computeSlope(measured, 'rssMb'),
				bytesPerSecondSlope: computeSlope(measured, 'bytesPerSecond'),
			};
			const spreadsInTime = measured.every(size => size.spreadMs <= spreadLimitMs);
			return {
				scenario: 'control',
				seed,
				premise: {holds: spreadsInTime, details: {sizes: sizes.join(','), measureMs}},
				variants: {adaptive: figures},
				sizes: measured,
			};
		} finally {
			await bed.stop();
		}
	},
};
