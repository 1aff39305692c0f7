/**
 * Runs the variants of a scenario side by side: a test bed for each, slices of load by turns so that the
 * machine's drift meets all of them, and the figures of each.
 */
import {type TestBed} from '../harness/test-bed.ts';
import {variantKinds, type Figures, type ScenarioResult, type VariantKind} from './types.ts';

export type VariantBeds = ReadonlyMap<VariantKind, TestBed>;

/**
 * Starts a test bed for each variant, and ends all of them after the work, also when it fails.
 *
 * @example
 * return useVariantBeds(kind => startChainBed(kind, seed), async beds => measure(beds));
 */
export async function useVariantBeds<Result>(
	startBed: (kind: VariantKind) => Promise<TestBed>,
	work: (beds: VariantBeds) => Promise<Result>,
): Promise<Result> {
	const beds = new Map<VariantKind, TestBed>();
	try {
		for (const kind of variantKinds) {
			beds.set(kind, await startBed(kind));
		}

		return await work(beds);
	} finally {
		for (const bed of beds.values()) {
			await bed.stop();
		}
	}
}

/** What is counted for one variant; scenarios add their own. */
export type Counts = {
	/** 99th percentile of how late calls were sent, the worst of all slices, in milliseconds. */
	lateMs: number;
};

export class VariantRuns<Own extends Counts> {
	/**
	 * @example
	 * const runs = VariantRuns.create(beds, createCounts);
	 * await runs.runSlices(3, async (bed, counts, slice) => runSlice(bed, counts, seed + slice));
	 */
	static create<Own extends Counts>(beds: VariantBeds, createCounts: () => Own): VariantRuns<Own> {
		return new VariantRuns(beds, createCounts);
	}

	readonly #counts = new Map<VariantKind, Own>();

	private constructor(
		private readonly beds: VariantBeds,
		createCounts: () => Own,
	) {
		for (const kind of beds.keys()) {
			this.#counts.set(kind, createCounts());
		}
	}

	/** How late calls were sent in the worst slice of all variants, in milliseconds. */
	get lateMs(): number {
		return Math.max(...[...this.#counts.values()].map(counts => counts.lateMs));
	}

	/** Counts of all variants. */
	listCounts(): Own[] {
		return [...this.#counts.values()];
	}

	/** Runs slices of load, each on one variant after the other. */
	async runSlices(
		slices: number,
		runSlice: (bed: TestBed, counts: Own, slice: number) => Promise<void>,
	): Promise<void> {
		for (let slice = 0; slice < slices; slice++) {
			for (const [kind, bed] of this.beds) {
				await runSlice(bed, this.#counts.get(kind)!, slice);
			}
		}
	}

	/** Computes the figures of each variant from its counts. */
	createFigures(create: (counts: Own) => Figures): ScenarioResult['variants'] {
		const variants: Partial<Record<VariantKind, Figures>> = {};
		for (const [kind, counts] of this.#counts) {
			variants[kind] = create(counts);
		}

		return variants;
	}
}
