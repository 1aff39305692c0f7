/**
 * Admission level of a guard: the rank below which entries shed calls early.
 *
 * The rank is a whole importance plus the share of that importance's calls to shed. It rises with the share
 * that the guard itself has to shed, and falls back ever faster while nothing is shed.
 */
import {importance, type Importance} from '../call/types.ts';

const windowMs = 100;
/** Shed shares up to this are left to the guard's queue. */
const toleratedShare = 0.02;
const firstFall = 0.05;
/** Fall per window, in levels, at most; with it the level opens fully within about a second. */
const maxFall = 0.8;
/** A class is closed as a whole when less than this share of it is admitted. */
const leastShare = 0.05;
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

	#rank = 0;
	#fall = firstFall;
	#window: number | undefined;
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

	/** Reads the least importance admitted and the share of it that is to be shed. */
	read(nowMs: number): {readonly admissionLevel: Importance; readonly shedShare: number} {
		this.#advance(nowMs);
		const admissionLevel = Math.min(importance.critical, Math.floor(this.#rank)) as Importance;
		return {admissionLevel, shedShare: Math.min(1, this.#rank - admissionLevel)};
	}

	/** Closes the windows that have passed. */
	#advance(nowMs: number): void {
		const window = Math.floor(nowMs / windowMs);
		if (this.#window === undefined) {
			this.#window = window;
			return;
		}

		if (window <= this.#window) {
			return;
		}

		this.#closeWindow();
		for (let empty = this.#window + 1; empty < window && this.#rank > 0; empty++) {
			this.#lower();
		}

		this.#window = window;
	}

	#closeWindow(): void {
		const shed = this.#findHighestShed();
		if (shed === undefined) {
			this.#lower();
		} else {
			this.#raise(shed);
		}

		this.#arrivals.fill(0);
		this.#sheds.fill(0);
	}

	/** Finds the highest importance of which more than the tolerated share was shed. */
	#findHighestShed(): Importance | undefined {
		for (let level = levelCount - 1; level >= 0; level--) {
			if (this.#sheds[level]! > toleratedShare * this.#arrivals[level]!) {
				return level as Importance;
			}
		}

		return undefined;
	}

	#raise(level: Importance): void {
		this.#fall = firstFall;
		const share = Math.min(1, this.#sheds[level]! / Math.max(1, this.#arrivals[level]!));
		const before = Math.max(0, Math.min(1, this.#rank - level));
		const after = 1 - (1 - before) * (1 - share);
		const rank = level + (after > 1 - leastShare ? 1 : after);
		this.#rank = Math.max(this.#rank, Math.min(rank, importance.critical));
	}

	#lower(): void {
		this.#rank = Math.max(0, this.#rank - this.#fall);
		this.#fall = Math.min(maxFall, this.#fall * 2);
	}
}
