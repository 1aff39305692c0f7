/**
 * Scenario `slowed`: one server in four is slowed tenfold; measured is the 99th percentile of the
 * latency against the same load with all servers healthy.
 */
import {performance} from 'node:perf_hooks';
import {request} from 'undici';
import {type PolicyInput} from '../../src/policy/schema.ts';
import {TestBed, type RunningServer} from '../harness/test-bed.ts';
import {type ServerSpec} from '../harness/types.ts';
import {computeQuantile, LoadGenerator} from '../load/load-generator.ts';
import {type Figures, type Scenario, type VariantKind} from './types.ts';
import {type Counts, useVariantBeds, VariantRuns} from './variants.ts';

/** Slots and connections are those of Lachance's catalogue, divided by this. */
const slotScale = 5;
const slots = 100 / slotScale;
const connections = 700 / slotScale;
const serviceMs = 10;
const slowFactor = 10;
const ratePerSecond = 200;
const rounds = 3;
const sliceMs = 2200;
/** Start of each slice that is left out: connections open and the slowdown is detected. */
const settleMs = 600;
const warmUpMs = 800;
const probeCalls = 10;
const maxLateMs = 20;
/** Least slowdown of the slowed server, called direct, for the premise to hold. */
const minDirectRatio = 5;
/** Least ratio of the baseline `none` for the premise to hold. */
const minNoneRatio = 2;

type Samples = Counts & {
	readonly healthyMs: number[];
	readonly slowedMs: number[];
	whole: number;
	all: number;
};

function createSamples(): Samples {
	return {healthyMs: [], slowedMs: [], whole: 0, all: 0, lateMs: 0};
}

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
async function runSlice(bed: TestBed, seed: number, durationMs: number) {
	return LoadGenerator.create({
		seed,
		durationMs,
		ports: bed.listCallerPorts(),
		kinds: [{name: 'swatch', method: 'GET', path: '/catalogue/swatches/1', ratePerSecond}],
	}).run();
}

/** Runs the same load healthy and slowed, one right after the other. */
async function runRound(bed: TestBed, samples: Samples, seed: number): Promise<void> {
	const server = bed.findServer('catalogue-0');
	for (const phase of ['healthyMs', 'slowedMs'] as const) {
		await bed.setBehaviour(server, {slowFactor: phase === 'slowedMs' ? slowFactor : 1});
		const load = await runSlice(bed, seed, sliceMs);
		samples.lateMs = Math.max(samples.lateMs, load.lateP99Ms);
		for (const sample of load.samples) {
			if (sample.dueAtMs >= settleMs) {
				samples.all++;
				samples.whole += sample.result === 'whole' ? 1 : 0;
				samples[phase].push(sample.latencyMs);
			}
		}
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

/** Measures how much slower a slowed server answers when called direct. */
async function measureSlowdown(bed: TestBed): Promise<number> {
	const server = bed.findServer('catalogue-0');
	const healthyMs = await measureDirect(server);
	await bed.setBehaviour(server, {slowFactor});
	const slowedMs = await measureDirect(server);
	await bed.setBehaviour(server, {slowFactor: 1});
	return slowedMs / healthyMs;
}

export const scenario: Scenario = {
	async run({seed}) {
		return useVariantBeds(
			async kind => TestBed.start({servers: listServers(), policy: createPolicy(kind), seed}),
			async beds => {
				for (const bed of beds.values()) {
					await runSlice(bed, seed, warmUpMs);
				}

				const directRatio = await measureSlowdown(beds.get('none')!);
				const runs = VariantRuns.create(beds, createSamples);
				await runs.runSlices(rounds, async (bed, samples, round) =>
					runRound(bed, samples, seed * 100 + round),
				);
				const {lateMs} = runs;
				const variants = runs.createFigures(createFigures);
				const noneRatio = Number(variants.none?.p99Ratio ?? 0);
				const isSlowed = directRatio >= minDirectRatio && noneRatio >= minNoneRatio;
				return {
					scenario: 'slowed',
					seed,
					premise: {
						holds: lateMs <= maxLateMs && isSlowed,
						details: {lateP99Ms: lateMs, directRatio, ratePerSecond, slowFactor, slotScale},
					},
					variants,
				};
			},
		);
	},
};
