/**
 * Bounds the repeats of the whole fleet without asking anyone.
 *
 * Each sidecar may spend its share of the allowed ratio and of the allowed slack. A repeat runs its
 * calls again, and those may be repeated too, so each sidecar spends only a part of the ratio.
 */

/**
 * Parts of the allowed ratio, by whether a request makes calls of its own. The services at the end of
 * the trees get repeats of their callers' callers on top, for up to three levels above them.
 */
const usedRatioShares = {leaf: 0.7, inner: 0.08} as const;
export type CallLevel = keyof typeof usedRatioShares;

/** Part of the allowed slack that all sidecars together may spend. */
const usedSlackShare = 0.4;
const slotsPerWindow = 10;
/** Requests count in the last window, the one before it, or the one halfway between: where most came. */
const slots = 2 * slotsPerWindow;

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
	spend(service: string, level: CallLevel, nowMs: number): boolean {
		const window = this.#readWindow(service, nowMs);
		const {ratio, slack} = this.bound;
		const allowed =
			countRequests(window) * ratio * usedRatioShares[level] +
			(slack * usedSlackShare) / Math.max(1, this.countSidecars());
		if (countLast(window.repeats, window.slot) + 1 > allowed) {
			return false;
		}

		window.repeats[window.slot % slots]! += 1;
		return true;
	}

	#readWindow(service: string, nowMs: number): Window {
		const slot = Math.floor(nowMs / (this.bound.windowMs / slotsPerWindow));
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

function countRequests(window: Window): number {
	return Math.max(
		countLast(window.requests, window.slot),
		countLast(window.requests, window.slot - slotsPerWindow / 2),
		countLast(window.requests, window.slot - slotsPerWindow),
	);
}

/** Sums the slots of the window that ends with a slot. */
function countLast(values: readonly number[], slot: number): number {
	let sum = 0;
	for (let index = 0; index < slotsPerWindow; index++) {
		sum += values[(slot - index + 2 * slots) % slots]!;
	}

	return sum;
}
