/**
 * Allocates the slots of a server to short and long requests.
 *
 * Long requests use the slots that short ones do not need. Reserved for short requests are as many slots as the mean
 * number of short requests that hold a slot or wait, and a margin for the variation of that number. A guaranteed
 * minimum lets long requests make progress at any load.
 */
import {type AdmissionRequest} from './types.ts';

/** Time constant of the mean short demand while it falls. */
const demandFallTimeConstantMs = 500;
/** Time constant of the mean short demand while it rises. */
const demandRiseTimeConstantMs = 500;
/** Margin in standard deviations of a Poisson process, the square-root staffing rule. */
const marginDeviations = 0.5;
/** Share of the slots for long requests that short requests of equal importance can't take. */
const guaranteedShareOfLongSlots = 0.2;

/** Interface of a slot allocation rule to the queue and the admission controller. */
export type SlotAllocator = Pick<
	ReservingSlotAllocator,
	| 'canStartLong'
	| 'isLongFirst'
	| 'longInUse'
	| 'longSlots'
	| 'recordEnd'
	| 'recordShortDemand'
	| 'recordStart'
	| 'setBounds'
	| 'shortInUse'
>;

/** Counts the slots held by short and long requests, and reserves slots for short ones by limiting the long ones. */
export class ReservingSlotAllocator {
	/**
	 * @param longShare - maximum share of the slots for long requests
	 * @example
	 * const slotAllocator = ReservingSlotAllocator.create(20, 0.5);
	 */
	static create(slotLimit: number, longShare: number): ReservingSlotAllocator {
		return new ReservingSlotAllocator(slotLimit, longShare);
	}

	#shortInUse = 0;
	#longInUse = 0;
	#slotLimit: number;
	#longShare: number;
	/** Moving average of the slots in demand by short requests. */
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

	/** Number of slots that long requests may currently hold, at least one. */
	get longSlots(): number {
		const maxSlots = Math.floor(this.#slotLimit * this.#longShare);
		const margin = marginDeviations * Math.sqrt(this.#meanShortDemand);
		const unreserved = Math.floor(this.#slotLimit - this.#meanShortDemand - margin);
		return Math.max(this.minLongSlots, Math.min(maxSlots, unreserved));
	}

	/** Number of slots guaranteed to long requests, at least one. */
	get minLongSlots(): number {
		return Math.max(1, Math.floor(this.#slotLimit * this.#longShare * guaranteedShareOfLongSlots));
	}

	/** Whether another long request may start. */
	get canStartLong(): boolean {
		return this.#longInUse < this.longSlots;
	}

	/** Whether a long request starts before an equally important short one: only below the guaranteed minimum. */
	isLongFirst(_short: AdmissionRequest, _long: AdmissionRequest): boolean {
		return this.#longInUse < this.minLongSlots;
	}

	/** Sets the limits; requests that already hold a slot keep it. */
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

	/** Updates the demand of short requests: those that hold a slot and those that wait for one. */
	recordShortDemand(waitingShort: number, nowMs: number): void {
		const timeConstantMs =
			this.#latestShortDemand > this.#meanShortDemand
				? demandRiseTimeConstantMs
				: demandFallTimeConstantMs;
		const weight = 1 - Math.exp((this.#updatedAtMs - nowMs) / timeConstantMs);
		this.#meanShortDemand += (this.#latestShortDemand - this.#meanShortDemand) * weight;
		this.#latestShortDemand = this.#shortInUse + waitingShort;
		this.#updatedAtMs = nowMs;
	}
}
