/**
 * Runs the variants of a scenario side by side, each on its own test bed. Slices of load alternate between
 * the variants, so that changes in the machine's speed over time affect all of them alike.
 */
import {type TestBed} from '../harness/test-bed.ts';
import {variantKinds, type Metrics, type ScenarioResult, type VariantKind} from './types.ts';

export type VariantBeds = ReadonlyMap<VariantKind, TestBed>;

/**
 * Starts a test bed for each variant, and stops all of them after the work, even if it fails.
 *
 * @example
 * return runWithVariantBeds(kind => startChainBed(kind, seed), async beds => measure(beds));
 */
export async function runWithVariantBeds<Result>(
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

/** Counts that every scenario keeps for a variant; scenarios add their own. */
export type BaseCounts = {
	/**
	 * 99th percentile of the delay between a call's due time and its sending, highest of all slices, in
	 * milliseconds.
	 */
	lateP99Ms: number;
};

/** Runs slices of load on the test bed of each variant and keeps the counts of each. */
export class VariantRunner<ScenarioCounts extends BaseCounts> {
	/**
	 * @example
	 * const runner = VariantRunner.create(beds, createCounts);
	 * await runner.runSlices(3, async (bed, counts, slice) => runSlice(bed, counts, seed + slice));
	 */
	static create<ScenarioCounts extends BaseCounts>(
		beds: VariantBeds,
		createCounts: () => ScenarioCounts,
	): VariantRunner<ScenarioCounts> {
		return new VariantRunner(beds, createCounts);
	}

	readonly #counts = new Map<VariantKind, ScenarioCounts>();

	private constructor(
		private readonly beds: VariantBeds,
		createCounts: () => ScenarioCounts,
	) {
		for (const kind of beds.keys()) {
			this.#counts.set(kind, createCounts());
		}
	}

	/** 99th percentile of the send delay, highest of all variants and slices, in milliseconds. */
	get lateP99Ms(): number {
		return Math.max(...[...this.#counts.values()].map(counts => counts.lateP99Ms));
	}

	listCounts(): ScenarioCounts[] {
		return [...this.#counts.values()];
	}

	/** Runs each slice of load on every variant in turn before the next slice. */
	async runSlices(
		sliceCount: number,
		runSlice: (bed: TestBed, counts: ScenarioCounts, slice: number) => Promise<void>,
	): Promise<void> {
		for (let slice = 0; slice < sliceCount; slice++) {
			for (const [kind, bed] of this.beds) {
				await runSlice(bed, this.#counts.get(kind)!, slice);
			}
		}
	}

	/** Computes the metrics of each variant from its counts. */
	computeMetrics(compute: (counts: ScenarioCounts) => Metrics): ScenarioResult['variants'] {
		const variants: Partial<Record<VariantKind, Metrics>> = {};
		for (const [kind, counts] of this.#counts) {
			variants[kind] = compute(counts);
		}

		return variants;
	}
}
