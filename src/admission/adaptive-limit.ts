/**
 * Concurrency limit that adapts to measured throughput.
 *
 * While requests wait, the limit is changed in trials. A cut is kept if throughput holds, since the extra calls only
 * queued or thrashed at the server. A rise is kept if throughput grows. If the server is slow for a reason that does
 * not depend on concurrency, such as a stall, the trial of a cut fails and the limit is restored. While no requests
 * wait, the limit grows in every window.
 */

const minWindowMs = 100;
const minSamples = 60;
/** Minimum samples per slot in a window; a trial needs more to distinguish a change from noise. */
const samplesPerSlot = 3;
const trialSamplesPerSlot = 10;
/** Ratio of service time to its baseline above which the server has too many concurrent calls. */
const contentionInflation = 1.4;
/** Below that ratio, a cut is tried only after requests have been waiting for this long. */
const saturationBeforeCutMs = 2000;
/** Share of samples with waiting requests from which the limit, not demand, determines throughput. */
const saturatedShare = 0.95;
const cutFactor = 0.75;
const riseFactor = 1.25;
/** Growth of the limit per window while no requests wait. */
const unsaturatedGrowthFactor = 1.1;
/** A cut is kept if throughput is at least this share of the best throughput. */
const minThroughputShareAfterCut = 0.9;
/** A rise is kept if throughput grows at least by this factor. */
const minThroughputGrowthAfterRise = 1.12;
/** Decay of the best throughput per window. */
const bestThroughputDecay = 0.95;
/** Windows at one limit before a trial, so that a single window during a stall does not trigger one. */
const windowsBeforeTrial = 3;
const initialTrialDelayMs = 4000;
const maxTrialDelayMs = 32_000;

export type LimitSample = {
	readonly serviceMs: number;
	/** Baseline: mean service time of such calls at a server without contention, in milliseconds. */
	readonly baseMs: number;
	/** Whether requests were waiting for a slot. */
	readonly isSaturated: boolean;
};

/** Interface of a concurrency limit to the admission controller. */
export type ConcurrencyLimit = Pick<AdaptiveLimit, 'limit' | 'record' | 'setCeiling'>;

/** Totals of the samples in one window. */
type LimitWindow = {
	startedAtMs: number;
	samples: number;
	saturatedSamples: number;
	serviceMs: number;
	baseMs: number;
};

type Direction = 'cut' | 'rise';

type Trial =
	| {readonly kind: 'none'}
	/** Skips one window, which holds calls that started before the change. */
	| {readonly kind: 'settling'; readonly direction: Direction; readonly limitBefore: number}
	| {readonly kind: 'measuring'; readonly direction: Direction; readonly limitBefore: number};

/** Earliest time of the next trial in one direction; the delay doubles with each failed trial. */
type TrialBackoff = {notBeforeMs: number; delayMs: number};

function createWindow(startedAtMs: number): LimitWindow {
	return {startedAtMs, samples: 0, saturatedSamples: 0, serviceMs: 0, baseMs: 0};
}

/** Adapts the number of slots between 1 and a configured maximum. */
export class AdaptiveLimit {
	/**
	 * @param ceiling - maximum number of slots, from the policy
	 * @example
	 * const limit = AdaptiveLimit.create(100);
	 */
	static create(ceiling: number): AdaptiveLimit {
		return new AdaptiveLimit(ceiling);
	}

	#limit: number;
	#ceiling: number;
	#window: LimitWindow | undefined;
	#trial: Trial = {kind: 'none'};
	readonly #trialBackoffs: Record<Direction, TrialBackoff> = {
		cut: {notBeforeMs: 0, delayMs: initialTrialDelayMs},
		rise: {notBeforeMs: 0, delayMs: initialTrialDelayMs},
	};

	#bestCallsPerMs = 0;
	#lastCallsPerMs = 0;
	#saturatedSinceMs: number | undefined;
	#windowsAtLimit = 0;

	private constructor(ceiling: number) {
		this.#limit = ceiling;
		this.#ceiling = ceiling;
	}

	/** Number of slots that may currently be in use. */
	get limit(): number {
		return this.#limit;
	}

	/** Sets the maximum from a new policy; a changed maximum becomes the current limit and ends a running trial. */
	setCeiling(ceiling: number): void {
		if (ceiling === this.#ceiling) {
			return;
		}

		this.#ceiling = ceiling;
		this.#limit = ceiling;
		this.#trial = {kind: 'none'};
	}

	/** Records a completed call. */
	record(sample: LimitSample, nowMs: number): void {
		this.#window ??= createWindow(nowMs);
		const window = this.#window;
		window.samples++;
		window.saturatedSamples += sample.isSaturated ? 1 : 0;
		window.serviceMs += sample.serviceMs;
		window.baseMs += sample.baseMs;
		if (this.#isComplete(window, nowMs)) {
			this.#closeWindow(window, nowMs);
			this.#window = createWindow(nowMs);
		}
	}

	#isComplete(window: LimitWindow, nowMs: number): boolean {
		const minPerSlot = this.#trial.kind === 'measuring' ? trialSamplesPerSlot : samplesPerSlot;
		const minCount = Math.max(minSamples, minPerSlot * this.#limit);
		return window.samples >= minCount && nowMs - window.startedAtMs >= minWindowMs;
	}

	#closeWindow(window: LimitWindow, nowMs: number): void {
		const isSaturated = window.saturatedSamples >= saturatedShare * window.samples;
		const callsPerMs = window.samples / (nowMs - window.startedAtMs);
		const trial = this.#trial;
		switch (trial.kind) {
			case 'settling': {
				this.#trial = {...trial, kind: 'measuring'};
				return;
			}

			case 'measuring': {
				this.#endTrial(trial, callsPerMs, isSaturated, nowMs);
				break;
			}

			case 'none': {
				this.#bestCallsPerMs = Math.max(callsPerMs, this.#bestCallsPerMs * bestThroughputDecay);
				this.#windowsAtLimit++;
				break;
			}
		}

		this.#lastCallsPerMs = callsPerMs;
		this.#adapt(isSaturated, window.serviceMs / window.baseMs, nowMs);
	}

	/** Keeps or reverts the change of the limit after its trial. */
	#endTrial(
		trial: Trial & {kind: 'measuring'},
		callsPerMs: number,
		isSaturated: boolean,
		nowMs: number,
	): void {
		const {direction, limitBefore} = trial;
		const backoff = this.#trialBackoffs[direction];
		this.#trial = {kind: 'none'};
		if (isSaturated && this.#isTrialSuccessful(direction, callsPerMs)) {
			this.#bestCallsPerMs = callsPerMs;
			this.#windowsAtLimit = 1;
			backoff.delayMs = initialTrialDelayMs;
			return;
		}

		this.#setLimit(limitBefore);
		backoff.notBeforeMs = nowMs + backoff.delayMs;
		backoff.delayMs = Math.min(maxTrialDelayMs, backoff.delayMs * 2);
	}

	#isTrialSuccessful(direction: Direction, callsPerMs: number): boolean {
		switch (direction) {
			case 'cut': {
				return callsPerMs >= minThroughputShareAfterCut * this.#bestCallsPerMs;
			}

			case 'rise': {
				return callsPerMs >= minThroughputGrowthAfterRise * this.#lastCallsPerMs;
			}
		}
	}

	/** Raises the limit while no requests wait; otherwise starts a trial if one is due. */
	#adapt(isSaturated: boolean, inflation: number, nowMs: number): void {
		if (!isSaturated) {
			this.#saturatedSinceMs = undefined;
			this.#bestCallsPerMs = 0;
			this.#windowsAtLimit = 0;
			this.#setLimit(Math.ceil(this.#limit * unsaturatedGrowthFactor));
			return;
		}

		this.#saturatedSinceMs ??= nowMs;
		if (this.#windowsAtLimit < windowsBeforeTrial) {
			return;
		}

		const isCutDue =
			inflation > contentionInflation || nowMs - this.#saturatedSinceMs >= saturationBeforeCutMs;
		if (isCutDue && this.#limit > 1 && nowMs >= this.#trialBackoffs.cut.notBeforeMs) {
			this.#startTrial('cut', Math.floor(this.#limit * cutFactor));
		} else if (this.#limit < this.#ceiling && nowMs >= this.#trialBackoffs.rise.notBeforeMs) {
			this.#startTrial('rise', Math.ceil(this.#limit * riseFactor));
		}
	}

	#startTrial(direction: Direction, limit: number): void {
		this.#trial = {kind: 'settling', direction, limitBefore: this.#limit};
		this.#setLimit(limit);
	}

	#setLimit(limit: number): void {
		this.#limit = Math.max(1, Math.min(this.#ceiling, limit));
	}
}
