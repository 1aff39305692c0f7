/**
 * Concurrency limit that follows measured latency and throughput.
 *
 * When calls take much longer than their baseline while requests wait, the limit is cut on trial. The cut stays
 * only when throughput holds: then the server queued the calls by itself. When throughput falls with the cut,
 * the slowness has another cause, such as a stall, and the limit goes back.
 */

const minWindowMs = 100;
const minSamples = 60;
const samplesPerSlot = 4;
/** Calls that take this many times their baseline show a crowded server. */
const crowdedInflation = 1.5;
const calmInflation = 1.2;
const cutFactor = 0.75;
/** Share of the throughput before a cut that has to remain for the cut to stay. */
const keptThroughput = 0.88;
const riseFactor = 1.1;
const firstHoldMs = 1000;
const maxHoldMs = 8000;

export type LimitSample = {
	readonly serviceMs: number;
	/** Mean service time of such calls at a server that is not crowded. */
	readonly baseMs: number;
	/** Whether requests wait for a slot. */
	readonly isSaturated: boolean;
};

/** Sums over one window of samples. */
type LimitWindow = {
	startedAtMs: number;
	samples: number;
	saturated: number;
	serviceMs: number;
	baseMs: number;
};

type Trial =
	| {readonly kind: 'none'}
	/** Waits for the calls that started before the cut. */
	| {readonly kind: 'settling'; readonly limit: number; readonly workPerMs: number}
	| {readonly kind: 'measuring'; readonly limit: number; readonly workPerMs: number};

function createWindow(startedAtMs: number): LimitWindow {
	return {startedAtMs, samples: 0, saturated: 0, serviceMs: 0, baseMs: 0};
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
	#window: LimitWindow | undefined;
	#trial: Trial = {kind: 'none'};
	#holdMs = firstHoldMs;
	#holdUntilMs = 0;

	private constructor(private ceiling: number) {
		this.#limit = ceiling;
	}

	/** Slots that may be in use at present. */
	get limit(): number {
		return this.#limit;
	}

	/** Sets the slots of a new policy; the limit starts again from there. */
	setCeiling(ceiling: number): void {
		if (ceiling === this.ceiling) {
			return;
		}

		this.ceiling = ceiling;
		this.#limit = ceiling;
		this.#trial = {kind: 'none'};
	}

	/** Adds one call that ran to its end. */
	record(sample: LimitSample, nowMs: number): void {
		this.#window ??= createWindow(nowMs);
		const window = this.#window;
		window.samples++;
		window.saturated += sample.isSaturated ? 1 : 0;
		window.serviceMs += sample.serviceMs;
		window.baseMs += sample.baseMs;
		if (this.#isFull(window, nowMs)) {
			this.#closeWindow(window, nowMs);
			this.#window = createWindow(nowMs);
		}
	}

	#isFull(window: LimitWindow, nowMs: number): boolean {
		const enough = Math.max(minSamples, samplesPerSlot * this.#limit);
		return window.samples >= enough && nowMs - window.startedAtMs >= minWindowMs;
	}

	#closeWindow(window: LimitWindow, nowMs: number): void {
		const isSaturated = window.saturated > window.samples / 2;
		const workPerMs = window.baseMs / (nowMs - window.startedAtMs);
		const trial = this.#trial;
		switch (trial.kind) {
			case 'settling': {
				this.#trial = {...trial, kind: 'measuring'};
				break;
			}

			case 'measuring': {
				this.#endTrial(trial, workPerMs, isSaturated, nowMs);
				break;
			}

			case 'none': {
				this.#adapt(window, workPerMs, isSaturated, nowMs);
				break;
			}
		}
	}

	#endTrial(
		trial: Trial & {kind: 'measuring'},
		workPerMs: number,
		isSaturated: boolean,
		nowMs: number,
	): void {
		this.#trial = {kind: 'none'};
		if (isSaturated && workPerMs >= keptThroughput * trial.workPerMs) {
			this.#holdMs = firstHoldMs;
			return;
		}

		this.#setLimit(trial.limit);
		this.#holdUntilMs = nowMs + this.#holdMs;
		this.#holdMs = Math.min(maxHoldMs, this.#holdMs * 2);
	}

	#adapt(window: LimitWindow, workPerMs: number, isSaturated: boolean, nowMs: number): void {
		const inflation = window.serviceMs / window.baseMs;
		if (!isSaturated || inflation < calmInflation) {
			this.#setLimit(Math.ceil(this.#limit * riseFactor));
			return;
		}

		if (inflation > crowdedInflation && nowMs >= this.#holdUntilMs && this.#limit > 1) {
			this.#trial = {kind: 'settling', limit: this.#limit, workPerMs};
			this.#setLimit(Math.floor(this.#limit * cutFactor));
		}
	}

	#setLimit(limit: number): void {
		this.#limit = Math.max(1, Math.min(this.ceiling, limit));
	}
}
