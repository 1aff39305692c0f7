/**
 * Bounds the repeats of the whole fleet without asking anyone.
 *
 * Each sidecar may spend its share of the allowed ratio and of the allowed slack. A repeat runs its
 * calls again, and those may be repeated too, so each sidecar spends only a part of the ratio.
 */

/** Part of the allowed ratio that one level of the call chain may spend. */
const usedRatioShare = 0.5;
/** Part of the allowed slack that all sidecars together may spend. */
const usedSlackShare = 0.4;
const slots = 10;

type Window = {readonly requests: number[]; readonly repeats: number[]; slot: number};

export class RetryBudget {
	/**
	 * @example
	 * const budget = RetryBudget.create({ratio: 0.2, windowMs: 10_000, slack: 49}, () => 17);
	 */
	static create(
		bound: {readonly ratio: number; readonly windowMs: number; readonly slack: number},
		countSidecars: () => number,
	): RetryBudget {
		return new RetryBudget(bound, countSidecars);
	}

	readonly #windows = new Map<string, Window>();

	private constructor(
		private readonly bound: {
			readonly ratio: number;
			readonly windowMs: number;
			readonly slack: number;
		},
		private readonly countSidecars: () => number,
	) {}

	/** Counts a request for a service. */
	recordRequest(service: string, nowMs: number): void {
		const window = this.#readWindow(service, nowMs);
		window.requests[window.slot % slots]! += 1;
	}

	/**
	 * Takes one repeat.
	 *
	 * @returns false when none is left in this window
	 */
	spend(service: string, nowMs: number): boolean {
		const window = this.#readWindow(service, nowMs);
		const {ratio, slack} = this.bound;
		const allowed =
			computeSum(window.requests) * ratio * usedRatioShare +
			(slack * usedSlackShare) / Math.max(1, this.countSidecars());
		if (computeSum(window.repeats) + 1 > allowed) {
			return false;
		}

		window.repeats[window.slot % slots]! += 1;
		return true;
	}

	#readWindow(service: string, nowMs: number): Window {
		const slot = Math.floor(nowMs / (this.bound.windowMs / slots));
		let window = this.#windows.get(service);
		if (window === undefined) {
			window = {requests: createSlots(), repeats: createSlots(), slot};
			this.#windows.set(service, window);
		}

		const first = Math.max(window.slot + 1, slot - slots + 1);
		for (let passed = first; passed <= slot; passed++) {
			window.requests[passed % slots] = 0;
			window.repeats[passed % slots] = 0;
		}

		window.slot = Math.max(window.slot, slot);
		return window;
	}
}

function createSlots(): number[] {
	return Array.from({length: slots}, () => 0);
}

function computeSum(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}
