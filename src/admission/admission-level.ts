/**
 * Admission level of a guard: the least importance of which it still admits a fair part.
 *
 * The level rises past an importance of which nearly all was shed for overload, and falls by one with each window
 * in which half of the next lower importance got through or none of it came. The gap keeps it from swinging.
 */
import {importance, type Importance} from '../call/types.ts';

const windowMs = 200;
const closedShedShare = 0.9;
const openAdmittedShare = 0.5;
const minArrivalsPerWindow = 3;
const levelCount = 5;

/** Derives the level from arrivals and overload sheds, in windows of fixed length. */
export class AdmissionLevel {
	/**
	 * @example
	 * const level = AdmissionLevel.create();
	 */
	static create(): AdmissionLevel {
		return new AdmissionLevel();
	}

	#level: Importance = importance.background;
	#windowIndex = 0;
	readonly #arrivals: number[];
	readonly #sheds: number[];

	private constructor() {
		this.#arrivals = Array.from({length: levelCount}, () => 0);
		this.#sheds = Array.from({length: levelCount}, () => 0);
	}

	recordArrival(level: Importance, nowMs: number): void {
		this.#advance(nowMs);
		this.#arrivals[level]!++;
	}

	recordShed(level: Importance, nowMs: number): void {
		this.#advance(nowMs);
		this.#sheds[level]!++;
	}

	/** Reads the least importance admitted at present. */
	read(nowMs: number): Importance {
		this.#advance(nowMs);
		return this.#level;
	}

	/** Closes the windows that have passed; empty ones lower the level too. */
	#advance(nowMs: number): void {
		const window = Math.floor(nowMs / windowMs);
		const passed = Math.min(levelCount, window - this.#windowIndex);
		this.#windowIndex = window;
		for (let closed = 0; closed < passed; closed++) {
			this.#level = this.#computeNext();
			this.#arrivals.fill(0);
			this.#sheds.fill(0);
		}
	}

	#computeNext(): Importance {
		let next: number = this.#level;
		while (next < importance.critical && this.#isClosed(next)) {
			next++;
		}

		if (next === this.#level && next > importance.background && this.#isOpen(next - 1)) {
			next--;
		}

		return next as Importance;
	}

	#isClosed(level: number): boolean {
		const arrivals = this.#arrivals[level]!;
		return arrivals >= minArrivalsPerWindow && this.#sheds[level]! >= closedShedShare * arrivals;
	}

	#isOpen(level: number): boolean {
		return this.#sheds[level]! <= (1 - openAdmittedShare) * this.#arrivals[level]!;
	}
}
