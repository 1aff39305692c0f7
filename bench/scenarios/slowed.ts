/**
 * Scenario `slowed`: one server in four is slowed tenfold; measured is the 99th percentile of the
 * latency against the same load with all servers healthy.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {type PolicyInput} from '../../src/policy/schema.ts';
import {TestBed, type RunningServer} from '../harness/test-bed.ts';
import {type ServerSpec} from '../harness/types.ts';
import {computeQuantile, LoadGenerator} from '../load/load-generator.ts';
import {stopBeds} from './chain.ts';
import {variantKinds, type Figures, type Scenario, type VariantKind} from './types.ts';

/** Slots and connections are those of Lachance's catalogue, divided by this. */
const slotScale = 5;
const slots = 100 / slotScale;
const connections = 700 / slotScale;
const serviceMs = 10;
const slowFactor = 10;
const ratePerSecond = 200;
const sliceMs = 2500;
const healthySlices = 2;
const slowedSlices = 3;
/** Time between the slowdown and the first measured slice. */
const detectMs = 1000;
const probeCalls = 10;
const maxLateMs = 20;
/** Least slowdown of the slowed server, called direct, for the premise to hold. */
const minDirectRatio = 5;
/** Least ratio of the baseline `none` for the premise to hold. */
const minNoneRatio = 2;

type Samples = {
	readonly healthyMs: number[];
	readonly slowedMs: number[];
	whole: number;
	all: number;
};

/** Lists four servers, two in each data centre. */
function listServers(): ServerSpec[] {
	const servers: ServerSpec[] = [];
	for (const [index, dataCentre] of ['est-a', 'est-a', 'est-b', 'est-b'].entries()) {
		servers.push({
			server: `catalogue-${index}`,
			service: 'catalogue',
			dataCentre,
			region: 'qc-est',
			slots,
			maxConnections: connections,
			routes: [{method: 'GET', path: '/swatches', serviceMs, jitter: 0.5, bytes: 1024}],
		});
	}

	return servers;
}

function createPolicy(kind: VariantKind): PolicyInput {
	const isAdaptive = kind === 'adaptive';
	return {
		services: [
			{
				name: 'catalogue',
				slotsPerServer: slots,
				connectionsPerServer: connections,
				admission: {kind},
				calls: [
					{
						name: 'swatch',
						method: 'GET',
						path: '/swatches/*',
						idempotent: true,
						hedge: isAdaptive,
						sizeClass: 'short',
					},
				],
			},
		],
		retries: isAdaptive ? {perRequest: 3} : {kind: 'perHop', perRequest: 3},
		routing: {kind: isAdaptive ? 'measured' : 'roundRobin'},
	};
}

/** Measures the median latency of a server called past its daemon, in milliseconds. */
async function measureDirect(server: RunningServer): Promise<number> {
	const latencies: number[] = [];
	for (let call = 0; call < probeCalls; call++) {
		const startedAtMs = performance.now();
		const answer = await request(`http://127.0.0.1:${server.backendPort}/swatches/1`);
		await answer.body.dump();
		latencies.push(performance.now() - startedAtMs);
	}

	return computeQuantile(latencies, 0.5);
}

/** Runs one slice of load and returns how late its arrivals were sent. */
async function runSlice(
	bed: TestBed,
	samples: Samples,
	phase: 'healthyMs' | 'slowedMs',
	options: {seed: number; durationMs: number},
): Promise<number> {
	const load = await LoadGenerator.create({
		...options,
		ports: bed.listCallerPorts(),
		kinds: [{name: 'swatch', method: 'GET', path: '/catalogue/swatches/1', ratePerSecond}],
	}).run();
	for (const sample of load.samples) {
		samples.all++;
		samples.whole += sample.result === 'whole' ? 1 : 0;
		samples[phase].push(sample.latencyMs);
	}

	return load.lateP99Ms;
}

async function runPhase(
	beds: ReadonlyMap<VariantKind, TestBed>,
	samples: ReadonlyMap<VariantKind, Samples>,
	phase: 'healthyMs' | 'slowedMs',
	seed: number,
): Promise<number> {
	let lateMs = 0;
	const slices = phase === 'healthyMs' ? healthySlices : slowedSlices;
	for (let slice = 0; slice < slices; slice++) {
		for (const [kind, bed] of beds) {
			const options = {seed: seed * 100 + slice, durationMs: sliceMs};
			lateMs = Math.max(lateMs, await runSlice(bed, samples.get(kind)!, phase, options));
		}
	}

	return lateMs;
}

/** Runs load that isn't measured, until connections and estimates exist. */
async function runWarmUp(beds: ReadonlyMap<VariantKind, TestBed>, seed: number): Promise<void> {
	for (const bed of beds.values()) {
		const ignored: Samples = {healthyMs: [], slowedMs: [], whole: 0, all: 0};
		await runSlice(bed, ignored, 'healthyMs', {seed, durationMs: detectMs});
	}
}

function createFigures(samples: Samples): Figures {
	const healthyP99Ms = computeQuantile(samples.healthyMs, 0.99);
	const slowedP99Ms = computeQuantile(samples.slowedMs, 0.99);
	return {
		p99Ratio: slowedP99Ms / healthyP99Ms,
		healthyP99Ms,
		slowedP99Ms,
		p50Ratio: computeQuantile(samples.slowedMs, 0.5) / computeQuantile(samples.healthyMs, 0.5),
		wholeShare: samples.whole / samples.all,
		calls: samples.all,
	};
}

async function startBeds(seed: number): Promise<ReadonlyMap<VariantKind, TestBed>> {
	const beds = new Map<VariantKind, TestBed>();
	for (const kind of variantKinds) {
		const spec = {servers: listServers(), policy: createPolicy(kind), seed};
		try {
			beds.set(kind, await TestBed.start(spec));
		} catch (error) {
			await stopBeds(beds);
			throw error;
		}
	}

	return beds;
}

/** Slows the first server of each variant; returns the least direct slowdown that was measured. */
async function slowServers(beds: ReadonlyMap<VariantKind, TestBed>): Promise<number> {
	let ratio = Number.POSITIVE_INFINITY;
	for (const bed of beds.values()) {
		const server = bed.findServer('catalogue-0');
		const beforeMs = await measureDirect(server);
		await bed.setBehaviour(server, {slowFactor});
		ratio = Math.min(ratio, (await measureDirect(server)) / beforeMs);
	}

	return ratio;
}

export const scenario: Scenario = {
	async run({seed}) {
		const beds = await startBeds(seed);
		try {
			const samples = new Map<VariantKind, Samples>();
			for (const kind of beds.keys()) {
				samples.set(kind, {healthyMs: [], slowedMs: [], whole: 0, all: 0});
			}

			await wait(detectMs);
			await runWarmUp(beds, seed);
			const healthyLateMs = await runPhase(beds, samples, 'healthyMs', seed);
			const directRatio = await slowServers(beds);
			await runWarmUp(beds, seed);
			const lateMs = Math.max(healthyLateMs, await runPhase(beds, samples, 'slowedMs', seed));
			const variants: Partial<Record<VariantKind, Figures>> = {};
			for (const [kind, own] of samples) {
				variants[kind] = createFigures(own);
			}

			const noneRatio = Number(variants.none?.p99Ratio ?? 0);
			return {
				scenario: 'slowed',
				seed,
				premise: {
					holds: lateMs <= maxLateMs && directRatio >= minDirectRatio && noneRatio >= minNoneRatio,
					details: {lateP99Ms: lateMs, directRatio, ratePerSecond, slowFactor, slotScale},
				},
				variants,
			};
		} finally {
			await stopBeds(beds);
		}
	},
};
