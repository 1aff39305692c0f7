/**
 * Concurrency limit that follows measured throughput.
 *
 * While requests wait, the limit is changed on trial. A cut stays when throughput holds: the server had queued
 * or thrashed. A rise stays when throughput grows. Slowness that does not depend on concurrency, such as a stall,
 * fails the trial of a cut, and the limit goes back. Without waiting requests the limit opens by itself.
 */

const minWindowMs = 100;
const minSamples = 60;
/** Samples per slot of a window; a measurement needs more to tell a change from chance. */
const samplesPerSlot = 3;
const trialSamplesPerSlot = 10;
/** Calls that take this many times their baseline show a crowded server. */
const contentionInflation = 1.4;
/** Without crowding, a cut is tried only after requests have waited for this long. */
const saturationBeforeCutMs = 2000;
/** Share of the samples with requests waiting from which throughput shows what the limit allows. */
const saturatedShare = 0.95;
const cutFactor = 0.75;
const riseFactor = 1.25;
/** Opening per window while nothing waits. */
const unsaturatedGrowthFactor = 1.1;
/** Share of the best throughput that has to remain for a cut to stay. */
const minThroughputShareAfterCut = 0.9;
/** Growth of throughput that a rise needs to stay. */
const minThroughputGrowthAfterRise = 1.12;
/** Share of the best throughput that is kept from window to window. */
const bestThroughputDecay = 0.95;
/** Windows at one limit before a trial, so that one window in a stall is no measure. */
const windowsBeforeTrial = 3;
const initialTrialDelayMs = 4000;
const maxTrialDelayMs = 32_000;

export type LimitSample = {
	readonly serviceMs: number;
	/** Mean service time of such calls at a server that is not crowded. */
	readonly baseMs: number;
	/** Whether requests wait for a slot. */
	readonly isSaturated: boolean;
};

/** What the admission control needs of a concurrency limit. */
export type ConcurrencyLimit = Pick<AdaptiveLimit, 'limit' | 'record' | 'setCeiling'>;

/** Sums over one window of samples. */
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
	/** Waits for the calls that started before the change. */
	| {readonly kind: 'settling'; readonly direction: Direction; readonly limitBefore: number}
	| {readonly kind: 'measuring'; readonly direction: Direction; readonly limitBefore: number};

/** When the next trial of a direction may begin; failures put it off ever longer. */
type TrialBackoff = {notBeforeMs: number; delayMs: number};

function createWindow(startedAtMs: number): LimitWindow {
	return {startedAtMs, samples: 0, saturatedSamples: 0, serviceMs: 0, baseMs: 0};
}

/** Adapts the number of slots between 1 and a ceiling. */
export class AdaptiveLimit {
	/**
	 * @param ceiling - slots that the policy gives the server
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

	/** Slots that may be in use at present. */
	get limit(): number {
		return this.#limit;
	}

	/** Sets the slots of a new policy; the limit starts again from there. */
	setCeiling(ceiling: number): void {
		if (ceiling === this.#ceiling) {
			return;
		}

		this.#ceiling = ceiling;
		this.#limit = ceiling;
		this.#trial = {kind: 'none'};
	}

	/** Adds one call that ran to its end. */
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
		const perSlot = this.#trial.kind === 'measuring' ? trialSamplesPerSlot : samplesPerSlot;
		const enough = Math.max(minSamples, perSlot * this.#limit);
		return window.samples >= enough && nowMs - window.startedAtMs >= minWindowMs;
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

	/** Keeps or undoes the change that was on trial. */
	#endTrial(
		trial: Trial & {kind: 'measuring'},
		callsPerMs: number,
		isSaturated: boolean,
		nowMs: number,
	): void {
		const {direction, limitBefore} = trial;
		const hold = this.#trialBackoffs[direction];
		this.#trial = {kind: 'none'};
		if (isSaturated && this.#isTrialSuccessful(direction, callsPerMs)) {
			this.#bestCallsPerMs = callsPerMs;
			this.#windowsAtLimit = 1;
			hold.delayMs = initialTrialDelayMs;
			return;
		}

		this.#setLimit(limitBefore);
		hold.notBeforeMs = nowMs + hold.delayMs;
		hold.delayMs = Math.min(maxTrialDelayMs, hold.delayMs * 2);
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

	/** Opens the limit while nothing waits, and otherwise begins a trial when one is due. */
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
