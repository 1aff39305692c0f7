/**
 * Scenario `goodput`: a chain under two and a half times the load that it can serve.
 */
import {type TestBed} from '../harness/test-bed.ts';
import {LoadGenerator} from '../load/load-generator.ts';
import {type CallSample} from '../load/types.ts';
import {listChainKinds, measureCapacity, scale, startChainBed} from './chain.ts';
import {type Figures, type Scenario} from './types.ts';
import {type Counts, useVariantBeds, VariantRuns} from './variants.ts';

const overloadFactor = 2.5;
/** Important demand as a share of the capacity. */
const importantPart = 0.3;
const sliceMs = 4000;
const slices = 3;
/** Start of each slice that is left out, until the load has built up. */
const warmUpMs = 1000;
const maxLateMs = 50;

type ShareCounts = Counts & {
	whole: number;
	important: number;
	importantWhole: number;
	ms: number;
};

function createCounts(): ShareCounts {
	return {whole: 0, important: 0, importantWhole: 0, lateMs: 0, ms: 0};
}

/** Adds what came of the calls of one slice after its warm-up. */
function addSamples(counts: ShareCounts, samples: readonly CallSample[]): void {
	counts.ms += sliceMs - warmUpMs;
	for (const sample of samples) {
		if (sample.dueAtMs < warmUpMs) {
			continue;
		}

		const isWhole = sample.result === 'whole';
		counts.whole += isWhole ? 1 : 0;
		if (sample.kind === 'important') {
			counts.important++;
			counts.importantWhole += isWhole ? 1 : 0;
		}
	}
}

async function runSlice(
	bed: TestBed,
	capacity: number,
	seed: number,
	counts: ShareCounts,
): Promise<void> {
	const load = await LoadGenerator.create({
		ports: bed.listCallerPorts(),
		seed,
		kinds: listChainKinds(capacity * overloadFactor, capacity * importantPart),
		durationMs: sliceMs,
	}).run();
	counts.lateMs = Math.max(counts.lateMs, load.lateP99Ms);
	addSamples(counts, load.samples);
}

function createFigures(counts: ShareCounts, capacity: number): Figures {
	return {
		goodputShare: (counts.whole * 1000) / counts.ms / capacity,
		importantShare: counts.importantWhole / counts.important,
		wholePerSecond: (counts.whole * 1000) / counts.ms,
	};
}

export const scenario: Scenario = {
	async run({seed}) {
		return useVariantBeds(
			async kind => startChainBed(kind, seed),
			async beds => {
				const capacity = await measureCapacity(beds.get('adaptive')!);
				const runs = VariantRuns.create(beds, createCounts);
				await runs.runSlices(slices, async (bed, counts, slice) =>
					runSlice(bed, capacity, seed + slice, counts),
				);
				return {
					scenario: 'goodput',
					seed,
					premise: {
						holds: runs.lateMs <= maxLateMs,
						details: {
							capacityPerSecond: capacity,
							overloadFactor,
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
