/**
 * Scenario `crest`: demand rises fourfold within two seconds, far above what the chain can serve.
 *
 * Measured is the crest: from the moment demand passes the capacity to the end of the load.
 */
import {type TestBed} from '../harness/test-bed.ts';
import {LoadGenerator} from '../load/load-generator.ts';
import {type CallSample} from '../load/types.ts';
import {listChainKinds, measureCapacity, scale, startVariantBeds, stopBeds} from './chain.ts';
import {variantKinds, type Figures, type Scenario, type VariantKind} from './types.ts';

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

type Counts = {
	whole: number;
	sent: number;
	important: number;
	importantWhole: number;
	lateMs: number;
	ms: number;
};

/** Factor on the base rate: flat, a linear rise, flat again. */
function computeRateFactor(atMs: number): number {
	const risen = Math.min(1, Math.max(0, (atMs - beforeMs) / riseMs));
	return 1 + (crestFactor - 1) * risen;
}

/** Adds what came of the calls that were due at the crest. */
function addSamples(counts: Counts, samples: readonly CallSample[]): void {
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

async function runSlice(bed: TestBed, capacity: number, seed: number, counts: Counts) {
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

function createFigures(counts: Counts, capacity: number): Figures {
	return {
		importantShare: counts.importantWhole / counts.important,
		goodputShare: (counts.whole * 1000) / counts.ms / capacity,
		wholePerSecond: (counts.whole * 1000) / counts.ms,
	};
}

export const scenario: Scenario = {
	async run({seed}) {
		const beds = await startVariantBeds(seed, variantKinds);
		try {
			const capacity = await measureCapacity(beds.get('adaptive')!);
			const counts = new Map<VariantKind, Counts>();
			for (const [kind, bed] of beds) {
				counts.set(kind, {whole: 0, sent: 0, important: 0, importantWhole: 0, lateMs: 0, ms: 0});
				await runWarmUp(bed, capacity, seed);
			}

			for (let slice = 0; slice < slices; slice++) {
				for (const [kind, bed] of beds) {
					await runSlice(bed, capacity, seed * 100 + slice, counts.get(kind)!);
				}
			}

			const variants: Partial<Record<VariantKind, Figures>> = {};
			let lateMs = 0;
			let sentPerSecond = Number.POSITIVE_INFINITY;
			for (const [kind, own] of counts) {
				variants[kind] = createFigures(own, capacity);
				lateMs = Math.max(lateMs, own.lateMs);
				sentPerSecond = Math.min(sentPerSecond, (own.sent * 1000) / own.ms);
			}

			const overload = sentPerSecond / capacity;
			return {
				scenario: 'crest',
				seed,
				premise: {
					holds: lateMs <= maxLateMs && overload > 1.5,
					details: {
						capacityPerSecond: capacity,
						meanOverload: overload,
						baseShare,
						crestFactor,
						riseMs,
						importantPart,
						lateP99Ms: lateMs,
						...scale,
					},
				},
				variants,
			};
		} finally {
			await stopBeds(beds);
		}
	},
};
