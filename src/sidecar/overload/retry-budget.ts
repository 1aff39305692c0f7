/**
 * Limits the retries of the whole mesh without communication between sidecars.
 *
 * Each sidecar gets an equal part of the configured slack and applies the configured ratio to its own
 * requests. A retry runs the calls of the request again, and these may be retried in turn, so each sidecar
 * uses only a part of the ratio.
 */
import {type SidecarSettings} from '../types.ts';

/**
 * Parts of the configured ratio, by whether a request makes calls of its own. Leaf services also receive
 * the retries of their callers, through up to three levels of the call tree above them.
 */
const ratioFactors = {leaf: 0.7, inner: 0.08} as const;
/** Position of a request in its call tree: `leaf` makes no calls, `inner` does. */
export type CallTreePosition = keyof typeof ratioFactors;

/** Part of the configured slack that all sidecars together may use. */
const slackFactor = 0.4;
const bucketsPerWindow = 10;
/**
 * Part of a window's retries that may be spent in one bucket. Spending them all at the start of a failure would
 * leave none for the requests that are admitted afterwards with the retries that they need.
 */
const maxBucketShare = 0.15;
/** Retries that are allowed in each bucket, however few a window has. */
const minBucketRetries = 10;
/**
 * Two windows are kept, because the request count is the highest of the last window, the one before it and
 * the one halfway between them.
 */
const keptBuckets = 2 * bucketsPerWindow;

/** Ring buffers of counts per time bucket; `newestBucket` is counted from time 0. */
type SlidingWindow = {
	readonly requests: number[];
	readonly retries: number[];
	newestBucket: number;
};

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

	/** Creates the budget that the settings of a sidecar name. */
	static createFor(
		settings: Pick<
			SidecarSettings,
			'retryBudgetRatio' | 'retryBudgetWindowMs' | 'retryBudgetSlack'
		>,
		countMembers: () => number,
	): RetryBudget {
		const {retryBudgetRatio, retryBudgetWindowMs, retryBudgetSlack} = settings;
		const limits = {
			ratio: retryBudgetRatio,
			windowMs: retryBudgetWindowMs,
			slack: retryBudgetSlack,
		};
		return RetryBudget.create(limits, countMembers);
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
		window.requests[window.newestBucket % keptBuckets]! += 1;
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
		if (sumWindow(window.retries, window.newestBucket) + 1 > allowed) {
			return false;
		}

		const spentInBucket = window.retries[window.newestBucket % keptBuckets]!;
		if (spentInBucket + 1 > Math.max(minBucketRetries, allowed * maxBucketShare)) {
			return false;
		}

		window.retries[window.newestBucket % keptBuckets]! += 1;
		return true;
	}

	/** Returns the window of a service after clearing the buckets that have expired since. */
	#advanceWindow(service: string, nowMs: number): SlidingWindow {
		const bucket = Math.floor(nowMs / (this.limits.windowMs / bucketsPerWindow));
		let window = this.#windows.get(service);
		if (window === undefined) {
			window = {requests: createBuckets(), retries: createBuckets(), newestBucket: bucket};
			this.#windows.set(service, window);
		}

		const first = Math.max(window.newestBucket + 1, bucket - keptBuckets + 1);
		for (let expired = first; expired <= bucket; expired++) {
			window.requests[expired % keptBuckets] = 0;
			window.retries[expired % keptBuckets] = 0;
		}

		window.newestBucket = Math.max(window.newestBucket, bucket);
		return window;
	}
}

function createBuckets(): number[] {
	return Array.from({length: keptBuckets}, () => 0);
}

/**
 * Counts the requests of the busiest of three windows: the current one, one half a window earlier, and the
 * previous one.
 */
function countRequests(window: SlidingWindow): number {
	return Math.max(
		sumWindow(window.requests, window.newestBucket),
		sumWindow(window.requests, window.newestBucket - bucketsPerWindow / 2),
		sumWindow(window.requests, window.newestBucket - bucketsPerWindow),
	);
}

/** Sums the counts of the window that ends with a given bucket. */
function sumWindow(counts: readonly number[], lastBucket: number): number {
	let sum = 0;
	for (let index = 0; index < bucketsPerWindow; index++) {
		sum += counts[(lastBucket - index + 2 * keptBuckets) % keptBuckets]!;
	}

	return sum;
}
