/**
 * Slots that long requests may hold.
 *
 * Long requests use what short ones leave: the mean number of short requests in slots or waiting, and a
 * margin for its variation, stay reserved for them. A floor keeps long work going at any load.
 */
import {type AdmissionRequest} from './types.ts';

/** Time constant of the mean short demand while it falls. */
const demandFallTimeConstantMs = 500;
/** Time constant of the mean short demand while it rises. */
const demandRiseTimeConstantMs = 500;
/** Margin in standard deviations of a Poisson process, the square-root staffing rule. */
const marginDeviations = 0.5;
/** Share of the long slots that short requests of equal importance can't displace. */
const minLongShare = 0.2;

/** What the queue and the admission control need of a rule for long requests. */
export type LaneRule = Pick<
	LongLane,
	| 'canStart'
	| 'isLongFirst'
	| 'longInUse'
	| 'longSlots'
	| 'recordEnd'
	| 'recordShortDemand'
	| 'recordStart'
	| 'setBounds'
	| 'shortInUse'
>;

/** Counts slots held by short and long requests and bounds the long ones. */
export class LongLane {
	/**
	 * @param longShare - largest share of the slots for long requests
	 * @example
	 * const lane = LongLane.create(20, 0.5);
	 */
	static create(slotLimit: number, longShare: number): LongLane {
		return new LongLane(slotLimit, longShare);
	}

	#shortInUse = 0;
	#longInUse = 0;
	#slotLimit: number;
	#longShare: number;
	/** Mean over time of the slots that short requests want. */
	#meanShortDemand = 0;
	#latestShortDemand = 0;
	#updatedAtMs = 0;

	private constructor(slotLimit: number, longShare: number) {
		this.#slotLimit = slotLimit;
		this.#longShare = longShare;
	}

	get shortInUse(): number {
		return this.#shortInUse;
	}

	get longInUse(): number {
		return this.#longInUse;
	}

	/** Slots that long requests may hold at present, at least one. */
	get longSlots(): number {
		const cap = Math.floor(this.#slotLimit * this.#longShare);
		const margin = marginDeviations * Math.sqrt(this.#meanShortDemand);
		const left = Math.floor(this.#slotLimit - this.#meanShortDemand - margin);
		return Math.max(this.minLongSlots, Math.min(cap, left));
	}

	/** Slots that long requests always get, at least one. */
	get minLongSlots(): number {
		return Math.max(1, Math.floor(this.#slotLimit * this.#longShare * minLongShare));
	}

	get canStart(): boolean {
		return this.#longInUse < this.longSlots;
	}

	/** Whether a long request goes before an equally important short one that waits. */
	isLongFirst(_short: AdmissionRequest, _long: AdmissionRequest): boolean {
		return this.#longInUse < this.minLongSlots;
	}

	/** Sets the bounds; slots already held are not taken away. */
	setBounds(slotLimit: number, longShare: number): void {
		this.#slotLimit = slotLimit;
		this.#longShare = longShare;
	}

	recordStart(sizeClass: 'short' | 'long'): void {
		if (sizeClass === 'long') {
			this.#longInUse++;
		} else {
			this.#shortInUse++;
		}
	}

	recordEnd(sizeClass: 'short' | 'long'): void {
		if (sizeClass === 'long') {
			this.#longInUse--;
		} else {
			this.#shortInUse--;
		}
	}

	/** Notes how many slots short requests want: those in use and those waiting. */
	recordShortDemand(waitingShort: number, nowMs: number): void {
		const constantMs =
			this.#latestShortDemand > this.#meanShortDemand
				? demandRiseTimeConstantMs
				: demandFallTimeConstantMs;
		const weight = 1 - Math.exp((this.#updatedAtMs - nowMs) / constantMs);
		this.#meanShortDemand += (this.#latestShortDemand - this.#meanShortDemand) * weight;
		this.#latestShortDemand = this.#shortInUse + waitingShort;
		this.#updatedAtMs = nowMs;
	}
}
