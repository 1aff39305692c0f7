/**
 * Scenario `goodput`: the chain under 2.5 times the load that it can serve.
 */
import {type TestBed} from '../harness/test-bed.ts';
import {LoadGenerator} from '../load/load-generator.ts';
import {type CallSample} from '../load/types.ts';
import {listChainCallKinds, measureCapacity, scaleDivisors, startChainBed} from './chain.ts';
import {type Metrics, type Scenario} from './types.ts';
import {type BaseCounts, runWithVariantBeds, VariantRunner} from './variants.ts';

const overloadFactor = 2.5;
/** Important demand as a share of the capacity. */
const importantPart = 0.3;
const sliceMs = 4000;
const sliceCount = 3;
/** Start of each slice that is not measured, while the load builds up. */
const warmUpMs = 1000;
const maxLateP99Ms = 50;

type GoodputCounts = BaseCounts & {
	whole: number;
	importantSent: number;
	importantWhole: number;
	measuredMs: number;
};

function createCounts(): GoodputCounts {
	return {whole: 0, importantSent: 0, importantWhole: 0, lateP99Ms: 0, measuredMs: 0};
}

/** Adds the results of the calls of one slice that were due after its warm-up. */
function addSamples(counts: GoodputCounts, samples: readonly CallSample[]): void {
	counts.measuredMs += sliceMs - warmUpMs;
	for (const sample of samples) {
		if (sample.dueAtMs < warmUpMs) {
			continue;
		}

		const isWhole = sample.result === 'whole';
		counts.whole += isWhole ? 1 : 0;
		if (sample.kind === 'important') {
			counts.importantSent++;
			counts.importantWhole += isWhole ? 1 : 0;
		}
	}
}

async function runSlice(
	bed: TestBed,
	capacity: number,
	seed: number,
	counts: GoodputCounts,
): Promise<void> {
	const load = await LoadGenerator.create({
		ports: bed.listCallerPorts(),
		seed,
		kinds: listChainCallKinds(capacity * overloadFactor, capacity * importantPart),
		durationMs: sliceMs,
	}).run();
	counts.lateP99Ms = Math.max(counts.lateP99Ms, load.lateP99Ms);
	addSamples(counts, load.samples);
}

function computeMetrics(counts: GoodputCounts, capacity: number): Metrics {
	return {
		goodputShare: (counts.whole * 1000) / counts.measuredMs / capacity,
		importantShare: counts.importantWhole / counts.importantSent,
		wholePerSecond: (counts.whole * 1000) / counts.measuredMs,
	};
}

export const scenario: Scenario = {
	async run({seed}) {
		return runWithVariantBeds(
			async kind => startChainBed(kind, seed),
			async beds => {
				const capacity = await measureCapacity(beds.get('adaptive')!);
				const runner = VariantRunner.create(beds, createCounts);
				await runner.runSlices(sliceCount, async (bed, counts, slice) =>
					runSlice(bed, capacity, seed + slice, counts),
				);
				return {
					scenario: 'goodput',
					seed,
					premise: {
						holds: runner.lateP99Ms <= maxLateP99Ms,
						details: {
							capacityPerSecond: capacity,
							overloadFactor,
							importantPart,
							lateP99Ms: runner.lateP99Ms,
							...scaleDivisors,
						},
					},
					variants: runner.computeMetrics(counts => computeMetrics(counts, capacity)),
				};
			},
		);
	},
};
