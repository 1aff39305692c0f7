/**
 * Admission level of a guard: the lowest importance of which it still admits a substantial share.
 *
 * The level rises past an importance when nearly all of its requests were shed for overload. It falls by one with
 * each window in which at least half of the requests of the next lower importance were admitted, or none arrived.
 * The gap between the two thresholds prevents oscillation.
 */
import {importance, type Importance} from '../call/types.ts';

const windowMs = 200;
/** Shed share from which an importance counts as closed. */
const closedShedShare = 0.9;
/** Admitted share from which an importance counts as open again. */
const openAdmittedShare = 0.5;
/** With fewer arrivals in a window, the shed share of an importance does not raise the level. */
const minArrivalsPerWindow = 3;
const levelCount = 5;

/** Computes the level from the arrivals and overload sheds of fixed windows. */
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

	/** Returns the lowest importance that is currently admitted. */
	read(nowMs: number): Importance {
		this.#advance(nowMs);
		return this.#level;
	}

	/** Evaluates the windows that have ended since the last call; empty windows lower the level too. */
	#advance(nowMs: number): void {
		const windowIndex = Math.floor(nowMs / windowMs);
		const ended = Math.min(levelCount, windowIndex - this.#windowIndex);
		this.#windowIndex = windowIndex;
		for (let evaluated = 0; evaluated < ended; evaluated++) {
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
