/**
 * Scenario `short-behind-long`: order checks beside pattern files that run many times longer.
 *
 * Short latency is compared with the same short load alone, long throughput with the same long load alone.
 * Slots are those of Lachance's patrons, divided by five; servers by two.
 */
import {TestBed} from '../harness/test-bed.ts';
import {type ServerSpec} from '../harness/types.ts';
import {computeQuantile, LoadGenerator, type LoadResult} from '../load/load-generator.ts';
import {type CallKind} from '../load/types.ts';
import {type PolicyInput} from '../../src/policy/schema.ts';
import {type Figures, type Scenario, type VariantKind} from './types.ts';
import {type Counts, useVariantBeds, VariantRuns} from './variants.ts';

const slotScale = 5;
const slots = 120 / slotScale;
const connections = 800 / slotScale;
const servers = 2;
const shortMs = 80;
const longMs = 800;
/** Demand as a share of all slots. */
const shortLoad = 0.5;
const longLoad = 0.8;
const shortAloneMs = 3000;
const longAloneMs = 3500;
const bothMs = 5500;
const warmUpMs = 1000;
/** Time from which ended long calls count, when the first could have ended. */
const longFromMs = 1500;
const maxLateMs = 30;

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

type LatencyCounts = Counts & {
	readonly aloneMs: number[];
	readonly besideMs: number[];
	shortSent: number;
	shortWhole: number;
	longAlonePerSecond: number;
	longPerSecond: number;
};

function createCounts(): LatencyCounts {
	return {
		aloneMs: [],
		besideMs: [],
		shortSent: 0,
		shortWhole: 0,
		longAlonePerSecond: 0,
		longPerSecond: 0,
		lateMs: 0,
	};
}

async function runLoad(bed: TestBed, kinds: readonly CallKind[], durationMs: number, seed: number) {
	return LoadGenerator.create({ports: bed.listCallerPorts(), seed, kinds, durationMs}).run();
}

/** Whole long answers a second from the time when the first could have ended. */
function computeLongPerSecond(load: LoadResult, durationMs: number): number {
	let whole = 0;
	for (const sample of load.samples) {
		const isCounted = sample.endedAtMs >= longFromMs && sample.endedAtMs <= durationMs;
		whole += sample.kind === 'long' && sample.result === 'whole' && isCounted ? 1 : 0;
	}

	return (whole * 1000) / (durationMs - longFromMs);
}

/** Adds the latencies of short calls after the warm-up; a call without an answer counts as its timeout. */
function addShort(latencies: number[], load: LoadResult): {sent: number; whole: number} {
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
	const shortAlone = await runLoad(bed, [shortKind], shortAloneMs, seed);
	addShort(counts.aloneMs, shortAlone);
	const longAlone = await runLoad(bed, [longKind], longAloneMs, seed);
	counts.longAlonePerSecond = computeLongPerSecond(longAlone, longAloneMs);
	const both = await runLoad(bed, [shortKind, longKind], bothMs, seed);
	const {sent, whole} = addShort(counts.besideMs, both);
	counts.shortSent = sent;
	counts.shortWhole = whole;
	counts.longPerSecond = computeLongPerSecond(both, bothMs);
	counts.lateMs = Math.max(shortAlone.lateP99Ms, longAlone.lateP99Ms, both.lateP99Ms);
}

function createFigures(counts: LatencyCounts): Figures {
	const alone = computeQuantile(counts.aloneMs, 0.99);
	const beside = computeQuantile(counts.besideMs, 0.99);
	return {
		shortP99Ratio: beside / alone,
		longShare: counts.longPerSecond / counts.longAlonePerSecond,
		shortShare: counts.shortWhole / counts.shortSent,
		shortAloneP99Ms: alone,
		shortP99Ms: beside,
		longPerSecond: counts.longPerSecond,
	};
}

export const scenario: Scenario = {
	async run({seed}) {
		return useVariantBeds(
			async kind => TestBed.start({servers: listServers(), policy: createPolicy(kind), seed}),
			async beds => {
				const runs = VariantRuns.create(beds, createCounts);
				await runs.runSlices(1, async (bed, counts) => runVariant(bed, counts, seed));
				return {
					scenario: 'short-behind-long',
					seed,
					premise: {
						holds: runs.lateMs <= maxLateMs,
						details: {
							servers,
							slots,
							slotScale,
							shortMs,
							longMs,
							shortLoad,
							longLoad,
							lateP99Ms: runs.lateMs,
						},
					},
					variants: runs.createFigures(createFigures),
				};
			},
		);
	},
};
