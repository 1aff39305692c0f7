/**
 * Scenario `slowed`: one server in four is slowed tenfold. The 99th percentile of the latency is compared
 * with that of the same load with all servers healthy.
 */
import {performance} from 'node:perf_hooks';
import {request} from 'undici';
import {type PolicyInput} from '../../src/policy/schema.ts';
import {TestBed, type RunningServer} from '../harness/test-bed.ts';
import {type ServerSpec} from '../harness/types.ts';
import {computeQuantile, LoadGenerator} from '../load/load-generator.ts';
import {type Metrics, type Scenario, type VariantKind} from './types.ts';
import {type BaseCounts, runWithVariantBeds, VariantRunner} from './variants.ts';

/** Divisor of the slots and connections of Lachance's `catalogue` service. */
const slotScale = 5;
const slots = 100 / slotScale;
const connections = 700 / slotScale;
const serviceMs = 10;
const slowFactor = 10;
const ratePerSecond = 200;
const roundCount = 3;
const sliceMs = 2200;
/** Start of each slice that is not measured, while connections open and the slowdown is detected. */
const settleMs = 600;
const warmUpMs = 800;
const probeCalls = 10;
const maxLateP99Ms = 20;
/** Lowest slowdown of the slowed server, called directly, at which the premise holds. */
const minDirectRatio = 5;
/** Lowest ratio of the 99th percentiles of the baseline `none` at which the premise holds. */
const minNoneRatio = 2;

type LatencySamples = BaseCounts & {
	readonly healthyMs: number[];
	readonly slowedMs: number[];
	wholeCount: number;
	totalCount: number;
};

function createSamples(): LatencySamples {
	return {healthyMs: [], slowedMs: [], wholeCount: 0, totalCount: 0, lateP99Ms: 0};
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

/** Measures the median latency of a server called directly, bypassing its daemon, in milliseconds. */
async function measureDirectLatencyMs(server: RunningServer): Promise<number> {
	const latencies: number[] = [];
	for (let call = 0; call < probeCalls; call++) {
		const startedAtMs = performance.now();
		const answer = await request(`http://127.0.0.1:${server.backendPort}/swatches/1`);
		await answer.body.dump();
		latencies.push(performance.now() - startedAtMs);
	}

	return computeQuantile(latencies, 0.5);
}

async function runSlice(bed: TestBed, seed: number, durationMs: number) {
	return LoadGenerator.create({
		seed,
		durationMs,
		ports: bed.listCallerPorts(),
		kinds: [{name: 'swatch', method: 'GET', path: '/catalogue/swatches/1', ratePerSecond}],
	}).run();
}

/** Runs the same load first with all servers healthy, then with one slowed. */
async function runRound(bed: TestBed, samples: LatencySamples, seed: number): Promise<void> {
	const server = bed.findServer('catalogue-0');
	for (const phase of ['healthyMs', 'slowedMs'] as const) {
		await bed.setBehaviour(server, {slowFactor: phase === 'slowedMs' ? slowFactor : 1});
		const load = await runSlice(bed, seed, sliceMs);
		samples.lateP99Ms = Math.max(samples.lateP99Ms, load.lateP99Ms);
		for (const sample of load.samples) {
			if (sample.dueAtMs >= settleMs) {
				samples.totalCount++;
				samples.wholeCount += sample.result === 'whole' ? 1 : 0;
				samples[phase].push(sample.latencyMs);
			}
		}
	}
}

function computeMetrics(samples: LatencySamples): Metrics {
	const healthyP99Ms = computeQuantile(samples.healthyMs, 0.99);
	const slowedP99Ms = computeQuantile(samples.slowedMs, 0.99);
	return {
		p99Ratio: slowedP99Ms / healthyP99Ms,
		healthyP99Ms,
		slowedP99Ms,
		p50Ratio: computeQuantile(samples.slowedMs, 0.5) / computeQuantile(samples.healthyMs, 0.5),
		wholeShare: samples.wholeCount / samples.totalCount,
		calls: samples.totalCount,
	};
}

/** Measures the ratio of the latencies of a slowed and a healthy server when called directly. */
async function measureSlowdownRatio(bed: TestBed): Promise<number> {
	const server = bed.findServer('catalogue-0');
	const healthyMs = await measureDirectLatencyMs(server);
	await bed.setBehaviour(server, {slowFactor});
	const slowedMs = await measureDirectLatencyMs(server);
	await bed.setBehaviour(server, {slowFactor: 1});
	return slowedMs / healthyMs;
}

export const scenario: Scenario = {
	async run({seed}) {
		return runWithVariantBeds(
			async kind => TestBed.start({servers: listServers(), policy: createPolicy(kind), seed}),
			async beds => {
				for (const bed of beds.values()) {
					await runSlice(bed, seed, warmUpMs);
				}

				const directRatio = await measureSlowdownRatio(beds.get('none')!);
				const runner = VariantRunner.create(beds, createSamples);
				await runner.runSlices(roundCount, async (bed, samples, round) =>
					runRound(bed, samples, seed * 100 + round),
				);
				const {lateP99Ms} = runner;
				const variants = runner.computeMetrics(computeMetrics);
				const noneRatio = Number(variants.none?.p99Ratio ?? 0);
				const isSlowed = directRatio >= minDirectRatio && noneRatio >= minNoneRatio;
				return {
					scenario: 'slowed',
					seed,
					premise: {
						holds: lateP99Ms <= maxLateP99Ms && isSlowed,
						details: {lateP99Ms, directRatio, ratePerSecond, slowFactor, slotScale},
					},
					variants,
				};
			},
		);
	},
};
