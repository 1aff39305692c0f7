/**
 * Scenario `goodput`: a chain under two and a half times the load that it can serve.
 */
import {type TestBed} from '../harness/test-bed.ts';
import {LoadGenerator} from '../load/load-generator.ts';
import {type CallSample} from '../load/types.ts';
import {listChainKinds, measureCapacity, scale, startVariantBeds, stopBeds} from './chain.ts';
import {variantKinds, type Figures, type Scenario, type VariantKind} from './types.ts';

const overloadFactor = 2.5;
/** Important demand as a share of the capacity. */
const importantPart = 0.3;
const sliceMs = 4000;
const slices = 3;
/** Start of each slice that is left out, until the load has built up. */
const warmUpMs = 1000;
const maxLateMs = 50;

type Counts = {
	whole: number;
	important: number;
	importantWhole: number;
	lateMs: number;
	ms: number;
};

/** Adds what came of the calls of one slice after its warm-up. */
function addSamples(counts: Counts, samples: readonly CallSample[]): void {
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
	counts: Counts,
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

function createFigures(counts: Counts, capacity: number): Figures {
	return {
		goodputShare: (counts.whole * 1000) / counts.ms / capacity,
		importantShare: counts.importantWhole / counts.important,
		wholePerSecond: (counts.whole * 1000) / counts.ms,
	};
}

export const scenario: Scenario = {
	async run({seed}) {
		const beds = await startVariantBeds(seed, variantKinds);
		try {
			const capacity = await measureCapacity(beds.get('adaptive')!);
			const counts = new Map<VariantKind, Counts>();
			for (let slice = 0; slice < slices; slice++) {
				for (const [kind, bed] of beds) {
					const own = counts.get(kind) ?? {
						whole: 0,
						important: 0,
						importantWhole: 0,
						lateMs: 0,
						ms: 0,
					};
					counts.set(kind, own);
					await runSlice(bed, capacity, seed + slice, own);
				}
			}

			const variants: Partial<Record<VariantKind, Figures>> = {};
			let lateMs = 0;
			for (const [kind, own] of counts) {
				variants[kind] = createFigures(own, capacity);
				lateMs = Math.max(lateMs, own.lateMs);
			}

			return {
				scenario: 'goodput',
				seed,
				premise: {
					holds: lateMs <= maxLateMs,
					details: {
						capacityPerSecond: capacity,
						overloadFactor,
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
