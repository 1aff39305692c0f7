/**
 * Slots that long requests may hold.
 *
 * Long requests use what short ones leave: the mean number of short requests in slots or waiting, and a
 * margin for its variation, stay reserved for them. A floor keeps long work going at any load.
 */
import {type AdmissionRequest} from './types.ts';

/** Time constant of the mean short demand while it falls. */
const fallMs = 500;
/** Time constant of the mean short demand while it rises. */
const riseMs = 500;
/** Margin in standard deviations of a Poisson process, the square-root staffing rule. */
const marginDeviations = 0.5;
/** Share of the long slots that short requests of equal importance can't displace. */
const floorShare = 0.2;

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
	#shortDemand = 0;
	#present = 0;
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
		const margin = marginDeviations * Math.sqrt(this.#shortDemand);
		const left = Math.floor(this.#slotLimit - this.#shortDemand - margin);
		return Math.max(this.floorSlots, Math.min(cap, left));
	}

	/** Slots that long requests always get, at least one. */
	get floorSlots(): number {
		return Math.max(1, Math.floor(this.#slotLimit * this.#longShare * floorShare));
	}

	get canStart(): boolean {
		return this.#longInUse < this.longSlots;
	}

	/** Whether a long request goes before an equally important short one that waits. */
	isLongFirst(_short: AdmissionRequest, _long: AdmissionRequest): boolean {
		return this.#longInUse < this.floorSlots;
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
		const constantMs = this.#present > this.#shortDemand ? riseMs : fallMs;
		const weight = 1 - Math.exp((this.#updatedAtMs - nowMs) / constantMs);
		this.#shortDemand += (this.#present - this.#shortDemand) * weight;
		this.#present = this.#shortInUse + waitingShort;
		this.#updatedAtMs = nowMs;
	}
}
