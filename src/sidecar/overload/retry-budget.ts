/**
 * Limits the retries of the whole mesh without communication between sidecars.
 *
 * Each sidecar gets an equal part of the configured slack and applies the configured ratio to its own
 * requests. A retry runs the calls of the request again, and these may be retried in turn, so each sidecar
 * uses only a part of the ratio.
 */

/**
 * Parts of the configured ratio, by whether a request makes calls of its own. Leaf services also receive
 * the retries of their callers, through up to three levels of the call tree above them.
 */
const ratioFactors = {leaf: 0.7, inner: 0.08} as const;
/** Position of a request in its call tree: `leaf` makes no calls, `inner` does. */
export type CallTreePosition = keyof typeof ratioFactors;

/** Part of the configured slack that all sidecars together may use. */
const slackFactor = 0.4;
const slotsPerWindow = 10;
/**
 * Two windows are kept, because the request count is the highest of the last window, the one before it and
 * the one halfway between them.
 */
const keptSlots = 2 * slotsPerWindow;

/** Ring buffers of counts per time slot; `slot` is the absolute index of the newest one. */
type SlidingWindow = {readonly requests: number[]; readonly retries: number[]; slot: number};

export class RetryBudget {
	/**
	 * @example
	 * const budget = RetryBudget.create({ratio: 0.2, windowMs: 10_000, slack: 49}, () => 17);
	 */
	static create(
		limits: {readonly ratio: number; readonly windowMs: number; readonly slack: number},
		countSidecars: () => number,
	): RetryBudget {
		return new RetryBudget(limits, countSidecars);
	}

	readonly #windows = new Map<string, SlidingWindow>();

	private constructor(
		private readonly limits: {
			readonly ratio: number;
			readonly windowMs: number;
			readonly slack: number;
		},
		private readonly countSidecars: () => number,
	) {}

	/** Counts a request to a service. */
	recordRequest(service: string, nowMs: number): void {
		const window = this.#advanceWindow(service, nowMs);
		window.requests[window.slot % keptSlots]! += 1;
	}

	/**
	 * Consumes one retry to a service.
	 *
	 * @returns false when the budget of this window is used up
	 */
	trySpend(service: string, position: CallTreePosition, nowMs: number): boolean {
		const window = this.#advanceWindow(service, nowMs);
		const {ratio, slack} = this.limits;
		const allowed =
			countRequests(window) * ratio * ratioFactors[position] +
			(slack * slackFactor) / Math.max(1, this.countSidecars());
		if (sumWindow(window.retries, window.slot) + 1 > allowed) {
			return false;
		}

		window.retries[window.slot % keptSlots]! += 1;
		return true;
	}

	/** Returns the window of a service after clearing the slots that time has passed since the last use. */
	#advanceWindow(service: string, nowMs: number): SlidingWindow {
		const slot = Math.floor(nowMs / (this.limits.windowMs / slotsPerWindow));
		let window = this.#windows.get(service);
		if (window === undefined) {
			window = {requests: createSlots(), retries: createSlots(), slot};
			this.#windows.set(service, window);
		}

		const first = Math.max(window.slot + 1, slot - keptSlots + 1);
		for (let expired = first; expired <= slot; expired++) {
			window.requests[expired % keptSlots] = 0;
			window.retries[expired % keptSlots] = 0;
		}

		window.slot = Math.max(window.slot, slot);
		return window;
	}
}

function createSlots(): number[] {
	return Array.from({length: keptSlots}, () => 0);
}

/**
 * Counts the requests of the busiest of three windows: the current one, one half a window earlier, and the
 * previous one.
 */
function countRequests(window: SlidingWindow): number {
	return Math.max(
		sumWindow(window.requests, window.slot),
		sumWindow(window.requests, window.slot - slotsPerWindow / 2),
		sumWindow(window.requests, window.slot - slotsPerWindow),
	);
}

/** Sums the counts of the window that ends with a given slot. */
function sumWindow(counts: readonly number[], lastSlot: number): number {
	let sum = 0;
	for (let index = 0; index < slotsPerWindow; index++) {
		sum += counts[(lastSlot - index + 2 * keptSlots) % keptSlots]!;
	}

	return sum;
}
