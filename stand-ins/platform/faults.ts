/**
 * Fault injection for the platform stand-in. A seeded generator makes the faults reproducible.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

export const faultKinds = {
	none: 'none',
	/** Answers 500 without running the operation. */
	fail: 'fail',
	/** Runs the operation and answers after a delay. */
	stall: 'stall',
	/** Runs the operation, then destroys the connection instead of answering. */
	loseAnswer: 'loseAnswer',
	/** Destroys the connection without running the operation. */
	cut: 'cut',
	/** Destroys the connection at once and runs the operation after a delay. */
	lateEffect: 'lateEffect',
} as const;

export type FaultKind = keyof typeof faultKinds;

/** Which share of which operations fails, and how. */
export type FaultPlan = {
	readonly kind: FaultKind;
	/** Share of the selected operations that fail, from 0 to 1. */
	readonly share: number;
	readonly seed: number;
	readonly delayMs: number;
	/** Names of the selected operations; empty selects all. */
	readonly operations: readonly string[];
};

const defaultDelayMs = 1000;

/** The plan in force until the first call of `setPlan`. */
const noFaults: FaultPlan = {
	kind: 'none',
	share: 0,
	seed: 1,
	delayMs: defaultDelayMs,
	operations: [],
};

/**
 * Parses a fault plan from JSON.
 *
 * @returns undefined when the text is not JSON or a field is malformed
 * @example
 * const plan = parseFaultPlan('{"kind": "fail", "share": 0.5, "seed": 1}');
 */
export function parseFaultPlan(text: string): FaultPlan | undefined {
	let input: Partial<Record<keyof FaultPlan, unknown>>;
	try {
		input = JSON.parse(text) as Partial<Record<keyof FaultPlan, unknown>>;
	} catch {
		return undefined;
	}

	const {kind, share = 1, seed = 1, delayMs = defaultDelayMs, operations = []} = input;
	const isUsable =
		typeof kind === 'string' &&
		Object.hasOwn(faultKinds, kind) &&
		typeof share === 'number' &&
		share >= 0 &&
		share <= 1 &&
		Number.isSafeInteger(seed) &&
		typeof delayMs === 'number' &&
		delayMs >= 0 &&
		Array.isArray(operations) &&
		operations.every(operation => typeof operation === 'string');
	return isUsable
		? {kind: kind as FaultKind, share, seed: seed as number, delayMs, operations}
		: undefined;
}

/** Picks a fault for each operation according to a plan, and counts the faults by kind. */
export class FaultSource {
	/**
	 * @example
	 * const faults = FaultSource.create();
	 */
	static create(): FaultSource {
		return new FaultSource(noFaults);
	}

	private random: RandomGenerator = xoroshiro128plus(1);
	private readonly counts = new Map<FaultKind, number>();

	private constructor(private plan: FaultPlan) {}

	/** Puts a plan in force and restarts the random generator from its seed. */
	setPlan(plan: FaultPlan): void {
		this.plan = plan;
		this.random = xoroshiro128plus(plan.seed);
	}

	/** Returns the delay in milliseconds of the plan in force. */
	readDelayMs(): number {
		return this.plan.delayMs;
	}

	/** Picks the fault for one operation at random, `none` where the plan does not select it. */
	pickFault(operation: string): FaultKind {
		const {kind, share, operations} = this.plan;
		if (kind === 'none' || (operations.length > 0 && !operations.includes(operation))) {
			return 'none';
		}

		if (uniformFloat64(this.random) >= share) {
			return 'none';
		}

		this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
		return kind;
	}

	/** Returns how many faults have been picked so far, by kind. */
	readCounts(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.counts);
	}
}
