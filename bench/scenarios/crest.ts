/**
 * Scenario `crest`: demand rises fourfold within two seconds, far above what the chain can serve.
 *
 * Measured is the crest: from the moment demand passes the capacity to the end of the load.
 */
import {type TestBed} from '../harness/test-bed.ts';
import {LoadGenerator} from '../load/load-generator.ts';
import {type CallSample} from '../load/types.ts';
import {listChainKinds, measureCapacity, scale, startChainBed} from './chain.ts';
import {type Figures, type Scenario} from './types.ts';
import {type Counts, useVariantBeds, VariantRuns} from './variants.ts';

/** Demand before the rise as a share of the capacity. */
const baseShare = 0.7;
const crestFactor = 4;
/** Important demand at the crest as a share of the capacity. */
const importantPart = 0.3;
const beforeMs = 1500;
const riseMs = 2000;
const holdMs = 2000;
const sliceMs = beforeMs + riseMs + holdMs;
const slices = 2;
const warmUpMs = 1000;
const maxLateMs = 50;
/** When demand passes the capacity. */
const crestFromMs = beforeMs + (riseMs * (1 / baseShare - 1)) / (crestFactor - 1);

type CrestCounts = Counts & {
	whole: number;
	sent: number;
	important: number;
	importantWhole: number;
	ms: number;
};

function createCounts(): CrestCounts {
	return {whole: 0, sent: 0, important: 0, importantWhole: 0, lateMs: 0, ms: 0};
}

/** Factor on the base rate: flat, a linear rise, flat again. */
function computeRateFactor(atMs: number): number {
	const risen = Math.min(1, Math.max(0, (atMs - beforeMs) / riseMs));
	return 1 + (crestFactor - 1) * risen;
}

/** Adds what came of the calls that were due at the crest. */
function addSamples(counts: CrestCounts, samples: readonly CallSample[]): void {
	counts.ms += sliceMs - crestFromMs;
	for (const sample of samples) {
		if (sample.dueAtMs < crestFromMs) {
			continue;
		}

		const isWhole = sample.result === 'whole';
		counts.sent++;
		counts.whole += isWhole ? 1 : 0;
		if (sample.kind === 'important') {
			counts.important++;
			counts.importantWhole += isWhole ? 1 : 0;
		}
	}
}

async function runSlice(bed: TestBed, capacity: number, seed: number, counts: CrestCounts) {
	const load = await LoadGenerator.create({
		ports: bed.listCallerPorts(),
		seed,
		kinds: listChainKinds(capacity * baseShare, (capacity * importantPart) / crestFactor),
		durationMs: sliceMs,
		rateFactor: computeRateFactor,
	}).run();
	counts.lateMs = Math.max(counts.lateMs, load.lateP99Ms);
	addSamples(counts, load.samples);
}

/** Runs load below the capacity that isn't measured, until connections and estimates exist. */
async function runWarmUp(bed: TestBed, capacity: number, seed: number): Promise<void> {
	await LoadGenerator.create({
		ports: bed.listCallerPorts(),
		seed,
		kinds: listChainKinds(capacity * baseShare, capacity * importantPart * baseShare),
		durationMs: warmUpMs,
	}).run();
}

function createFigures(counts: CrestCounts, capacity: number): Figures {
	return {
		importantShare: counts.importantWhole / counts.important,
		goodputShare: (counts.whole * 1000) / counts.ms / capacity,
		wholePerSecond: (counts.whole * 1000) / counts.ms,
	};
}

/** Computes the mean demand at the crest as a multiple of the capacity, that of the least loaded variant. */
function computeOverload(runs: VariantRuns<CrestCounts>, capacity: number): number {
	const rates = runs.listCounts().map(({sent, ms}) => (sent * 1000) / ms);
	return Math.min(...rates) / capacity;
}

export const scenario: Scenario = {
	async run({seed}) {
		return useVariantBeds(
			async kind => startChainBed(kind, seed),
			async beds => {
				const capacity = await measureCapacity(beds.get('adaptive')!);
				for (const bed of beds.values()) {
					await runWarmUp(bed, capacity, seed);
				}

				const runs = VariantRuns.create(beds, createCounts);
				await runs.runSlices(slices, async (bed, counts, slice) =>
					runSlice(bed, capacity, seed * 100 + slice, counts),
				);
				const overload = computeOverload(runs, capacity);
				return {
					scenario: 'crest',
					seed,
					premise: {
						holds: runs.lateMs <= maxLateMs && overload > 1.5,
						details: {
							capacityPerSecond: capacity,
							meanOverload: overload,
							baseShare,
							crestFactor,
							riseMs,
							importantPart,
							lateP99Ms: runs.lateMs,
							...scale,
						},
					},
					variants: runs.createFigures(counts => createFigures(counts, capacity)),
				};
			},
		);
	},
};
