/**
 * Faults of the platform stand-in, drawn from a seed.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

export const faultKinds = {
	none: 'none',
	/** Answers 500 and has no effect. */
	fail: 'fail',
	/** Serves the request after a delay. */
	stall: 'stall',
	/** Takes effect, then destroys the connection. */
	loseAnswer: 'loseAnswer',
	/** Destroys the connection before any effect. */
	cut: 'cut',
	/** Destroys the connection at once and takes effect after a delay. */
	lateEffect: 'lateEffect',
} as const;

export type FaultKind = keyof typeof faultKinds;

/** A plan of faults: which share of which operations fails, and how. */
export type FaultPlan = {
	readonly kind: FaultKind;
	/** Share of the operations that fail, from 0 to 1. */
	readonly share: number;
	readonly seed: number;
	readonly delayMs: number;
	/** Names of the operations concerned; empty means all. */
	readonly operations: readonly string[];
};

const defaultDelayMs = 1000;

/** The plan that is in force until another is set. */
const noFaults: FaultPlan = {
	kind: 'none',
	share: 0,
	seed: 1,
	delayMs: defaultDelayMs,
	operations: [],
};

/**
 * Reads a fault plan from JSON.
 *
 * @returns undefined when a field is malformed
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

/** Draws the faults of a plan, one operation after the other, and counts them by kind. */
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

	/** Puts a plan in force and restarts the draw from its seed. */
	setPlan(plan: FaultPlan): void {
		this.plan = plan;
		this.random = xoroshiro128plus(plan.seed);
	}

	/** Delay in milliseconds of the plan in force. */
	readDelayMs(): number {
		return this.plan.delayMs;
	}

	/** Draws the fault of one operation. */
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

	/** Counts of the faults drawn so far, by kind. */
	readCounts(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.counts);
	}
}
