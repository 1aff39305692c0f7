/**
 * Slots that long requests may hold.
 *
 * Long requests use what short ones leave: the most short requests that were seen in slots or waiting of
 * late stay reserved for them. A floor keeps long work going at any load.
 */

const peakWindowMs = 500;
const peakWindows = 6;
/** Share of the long slots that short requests of equal importance can't displace. */
const floorShare = 0.2;

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
	readonly #peaks: number[] = Array.from({length: peakWindows}, () => 0);
	#window = 0;

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
		const left = this.#slotLimit - Math.max(...this.#peaks);
		return Math.max(this.floorSlots, Math.min(cap, left));
	}

	/** Slots that long requests always get, at least one. */
	get floorSlots(): number {
		return Math.max(1, Math.floor(this.#slotLimit * this.#longShare * floorShare));
	}

	get canStart(): boolean {
		return this.#longInUse < this.longSlots;
	}

	get isBelowFloor(): boolean {
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
		const window = Math.floor(nowMs / peakWindowMs);
		const passed = Math.min(peakWindows, window - this.#window);
		for (let step = 1; step <= passed; step++) {
			this.#peaks[(this.#window + step) % peakWindows] = 0;
		}

		this.#window = window;
		const index = window % peakWindows;
		this.#peaks[index] = Math.max(this.#peaks[index]!, this.#shortInUse + waitingShort);
	}
}
