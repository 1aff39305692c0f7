/**
 * Scenario `crest`: demand rises fourfold within two seconds, far above the capacity of the chain.
 *
 * Only the crest is measured: from the time when demand exceeds the capacity to the end of the load.
 */
import {type TestBed} from '../harness/test-bed.ts';
import {LoadGenerator} from '../load/load-generator.ts';
import {type CallSample} from '../load/types.ts';
import {listChainCallKinds, measureCapacity, scaleDivisors, startChainBed} from './chain.ts';
import {type Metrics, type Scenario} from './types.ts';
import {type BaseCounts, runWithVariantBeds, VariantRunner} from './variants.ts';

/** Demand before the rise as a share of the capacity. */
const baseShare = 0.7;
const crestFactor = 4;
/** Important demand at the crest as a share of the capacity. */
const importantPart = 0.3;
const beforeMs = 1500;
const riseMs = 2000;
const holdMs = 2000;
const sliceMs = beforeMs + riseMs + holdMs;
const sliceCount = 2;
const warmUpMs = 1000;
const maxLateP99Ms = 50;
/** Time at which demand exceeds the capacity. */
const crestStartMs = beforeMs + (riseMs * (1 / baseShare - 1)) / (crestFactor - 1);

type CrestCounts = BaseCounts & {
	whole: number;
	sent: number;
	importantSent: number;
	importantWhole: number;
	measuredMs: number;
};

function createCounts(): CrestCounts {
	return {whole: 0, sent: 0, importantSent: 0, importantWhole: 0, lateP99Ms: 0, measuredMs: 0};
}

/** Computes the factor on the base rate: constant, then a linear rise, then constant again. */
function computeRateFactor(atMs: number): number {
	const riseProgress = Math.min(1, Math.max(0, (atMs - beforeMs) / riseMs));
	return 1 + (crestFactor - 1) * riseProgress;
}

/** Adds the results of the calls of one slice that were due at the crest. */
function addSamples(counts: CrestCounts, samples: readonly CallSample[]): void {
	counts.measuredMs += sliceMs - crestStartMs;
	for (const sample of samples) {
		if (sample.dueAtMs < crestStartMs) {
			continue;
		}

		const isWhole = sample.result === 'whole';
		counts.sent++;
		counts.whole += isWhole ? 1 : 0;
		if (sample.kind === 'important') {
			counts.importantSent++;
			counts.importantWhole += isWhole ? 1 : 0;
		}
	}
}

async function runSlice(bed: TestBed, capacity: number, seed: number, counts: CrestCounts) {
	const load = await LoadGenerator.create({
		ports: bed.listCallerPorts(),
		seed,
		kinds: listChainCallKinds(capacity * baseShare, (capacity * importantPart) / crestFactor),
		durationMs: sliceMs,
		computeRateFactor,
	}).run();
	counts.lateP99Ms = Math.max(counts.lateP99Ms, load.lateP99Ms);
	addSamples(counts, load.samples);
}

/** Runs unmeasured load below the capacity, so that connections are open and estimates exist. */
async function runWarmUp(bed: TestBed, capacity: number, seed: number): Promise<void> {
	await LoadGenerator.create({
		ports: bed.listCallerPorts(),
		seed,
		kinds: listChainCallKinds(capacity * baseShare, capacity * importantPart * baseShare),
		durationMs: warmUpMs,
	}).run();
}

function computeMetrics(counts: CrestCounts, capacity: number): Metrics {
	return {
		importantShare: counts.importantWhole / counts.importantSent,
		goodputShare: (counts.whole * 1000) / counts.measuredMs / capacity,
		wholePerSecond: (counts.whole * 1000) / counts.measuredMs,
	};
}

/** Computes the mean demand at the crest of the least loaded variant, divided by the capacity. */
function computeOverload(runner: VariantRunner<CrestCounts>, capacity: number): number {
	const rates = runner.listCounts().map(({sent, measuredMs}) => (sent * 1000) / measuredMs);
	return Math.min(...rates) / capacity;
}

export const scenario: Scenario = {
	async run({seed}) {
		return runWithVariantBeds(
			async kind => startChainBed(kind, seed),
			async beds => {
				const capacity = await measureCapacity(beds.get('adaptive')!);
				for (const bed of beds.values()) {
					await runWarmUp(bed, capacity, seed);
				}

				const runner = VariantRunner.create(beds, createCounts);
				await runner.runSlices(sliceCount, async (bed, counts, slice) =>
					runSlice(bed, capacity, seed * 100 + slice, counts),
				);
				const overload = computeOverload(runner, capacity);
				return {
					scenario: 'crest',
					seed,
					premise: {
						holds: runner.lateP99Ms <= maxLateP99Ms && overload > 1.5,
						details: {
							capacityPerSecond: capacity,
							meanOverload: overload,
							baseShare,
							crestFactor,
							riseMs,
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
