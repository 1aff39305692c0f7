/**
 * Scenario `short-behind-long`: order checks beside pattern files that take ten times as long.
 *
 * The latency of short calls is compared with that of the same short load alone, and the throughput of long
 * calls with that of the same long load alone. Slots and connections are those of Lachance's `patrons`
 * service, divided by 5; servers are divided by 2.
 */
import {TestBed} from '../harness/test-bed.ts';
import {type ServerSpec} from '../harness/types.ts';
import {computeQuantile, LoadGenerator, type LoadResult} from '../load/load-generator.ts';
import {type CallKind} from '../load/types.ts';
import {type PolicyInput} from '../../src/policy/schema.ts';
import {type Metrics, type Scenario, type VariantKind} from './types.ts';
import {type BaseCounts, runWithVariantBeds, VariantRunner} from './variants.ts';

const slotScale = 5;
const slots = 120 / slotScale;
const connections = 800 / slotScale;
const servers = 2;
const shortMs = 80;
const longMs = 800;
/** Demand as a share of all slots of the service. */
const shortLoad = 0.5;
const longLoad = 0.8;
const shortAloneDurationMs = 3000;
const longAloneDurationMs = 3500;
const combinedDurationMs = 5500;
const warmUpMs = 1000;
/** Long calls count only if they end after this time, when the first ones can have ended. */
const longCountFromMs = 1500;
const maxLateP99Ms = 30;

const shortKind: CallKind = {
	name: 'short',
	method: 'GET',
	path: '/patrons/orders/1',
	ratePerSecond: (shortLoad * servers * slots * 1000) / shortMs,
	timeoutMs: 2000,
};
const longKind: CallKind = {
	name: 'long',
	method: 'GET',
	path: '/patrons/files/1',
	ratePerSecond: (longLoad * servers * slots * 1000) / longMs,
	timeoutMs: 3500,
};

function listServers(): ServerSpec[] {
	return ['est-a', 'est-b'].map(dataCentre => ({
		server: `patrons-${dataCentre}`,
		service: 'patrons',
		dataCentre,
		region: 'qc-est',
		slots,
		maxConnections: connections,
		routes: [
			{method: 'GET', path: '/orders', serviceMs: shortMs, jitter: 0.5, bytes: 512},
			{method: 'GET', path: '/files', serviceMs: longMs, jitter: 0.5, bytes: 65_536},
		],
	}));
}

function createPolicy(kind: VariantKind): PolicyInput {
	const isAdaptive = kind === 'adaptive';
	return {
		services: [
			{
				name: 'patrons',
				slotsPerServer: slots,
				connectionsPerServer: connections,
				admission: {kind, maxQueued: isAdaptive ? 200 : 100_000},
				calls: [
					{name: 'order-check', method: 'GET', path: '/orders/*', importance: 'normal'},
					{
						name: 'pattern-file',
						method: 'GET',
						path: '/files/*',
						importance: 'normal',
						sizeClass: 'long',
						deadlineMs: 3000,
					},
				],
			},
		],
		anonymous: {allowed: true, maxImportance: 'normal'},
		retries: isAdaptive ? {perRequest: 3} : {kind: 'perHop', perRequest: 3},
	};
}

type LatencyCounts = BaseCounts & {
	readonly aloneLatenciesMs: number[];
	readonly combinedLatenciesMs: number[];
	shortSent: number;
	shortWhole: number;
	longAlonePerSecond: number;
	longPerSecond: number;
};

function createCounts(): LatencyCounts {
	return {
		aloneLatenciesMs: [],
		combinedLatenciesMs: [],
		shortSent: 0,
		shortWhole: 0,
		longAlonePerSecond: 0,
		longPerSecond: 0,
		lateP99Ms: 0,
	};
}

async function runLoad(bed: TestBed, kinds: readonly CallKind[], durationMs: number, seed: number) {
	return LoadGenerator.create({ports: bed.listCallerPorts(), seed, kinds, durationMs}).run();
}

/** Computes the complete answers to long calls per second after `longCountFromMs`. */
function computeLongPerSecond(load: LoadResult, durationMs: number): number {
	let whole = 0;
	for (const sample of load.samples) {
		const isCounted = sample.endedAtMs >= longCountFromMs && sample.endedAtMs <= durationMs;
		whole += sample.kind === 'long' && sample.result === 'whole' && isCounted ? 1 : 0;
	}

	return (whole * 1000) / (durationMs - longCountFromMs);
}

/** Adds the latencies of short calls after the warm-up; one without a complete answer counts as its timeout. */
function addShortLatencies(latencies: number[], load: LoadResult): {sent: number; whole: number} {
	let sent = 0;
	let whole = 0;
	for (const sample of load.samples) {
		if (sample.kind !== 'short' || sample.dueAtMs < warmUpMs) {
			continue;
		}

		const isWhole = sample.result === 'whole';
		sent++;
		whole += isWhole ? 1 : 0;
		latencies.push(isWhole ? sample.latencyMs : (shortKind.timeoutMs ?? 0));
	}

	return {sent, whole};
}

async function runVariant(bed: TestBed, counts: LatencyCounts, seed: number): Promise<void> {
	const shortAlone = await runLoad(bed, [shortKind], shortAloneDurationMs, seed);
	addShortLatencies(counts.aloneLatenciesMs, shortAlone);
	const longAlone = await runLoad(bed, [longKind], longAloneDurationMs, seed);
	counts.longAlonePerSecond = computeLongPerSecond(longAlone, longAloneDurationMs);
	const combined = await runLoad(bed, [shortKind, longKind], combinedDurationMs, seed);
	const {sent, whole} = addShortLatencies(counts.combinedLatenciesMs, combined);
	counts.shortSent = sent;
	counts.shortWhole = whole;
	counts.longPerSecond = computeLongPerSecond(combined, combinedDurationMs);
	counts.lateP99Ms = Math.max(shortAlone.lateP99Ms, longAlone.lateP99Ms, combined.lateP99Ms);
}

function computeMetrics(counts: LatencyCounts): Metrics {
	const aloneP99Ms = computeQuantile(counts.aloneLatenciesMs, 0.99);
	const combinedP99Ms = computeQuantile(counts.combinedLatenciesMs, 0.99);
	return {
		shortP99Ratio: combinedP99Ms / aloneP99Ms,
		longShare: counts.longPerSecond / counts.longAlonePerSecond,
		shortShare: counts.shortWhole / counts.shortSent,
		shortAloneP99Ms: aloneP99Ms,
		shortP99Ms: combinedP99Ms,
		longPerSecond: counts.longPerSecond,
	};
}

export const scenario: Scenario = {
	async run({seed}) {
		return runWithVariantBeds(
			async kind => TestBed.start({servers: listServers(), policy: createPolicy(kind), seed}),
			async beds => {
				const runner = VariantRunner.create(beds, createCounts);
				await runner.runSlices(1, async (bed, counts) => runVariant(bed, counts, seed));
				return {
					scenario: 'short-behind-long',
					seed,
					premise: {
						holds: runner.lateP99Ms <= maxLateP99Ms,
						details: {
							servers,
							slots,
							slotScale,
							shortMs,
							longMs,
							shortLoad,
							longLoad,
							lateP99Ms: runner.lateP99Ms,
						},
					},
					variants: runner.computeMetrics(computeMetrics),
				};
			},
		);
	},
};
