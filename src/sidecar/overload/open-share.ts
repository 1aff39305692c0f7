/**
 * The share of the demand that one guard can take, from how full its server is.
 *
 * Pattern: overload must end when its trigger does. The share falls while requests pile up and rises by
 * itself as soon as there is room, in proportion to how far use is from its target.
 */

/**
 * Use of the slots that the share aims at, those who wait included. A third of the slots' worth of
 * waiting delays a request by a third of the time that others take; below that the server is not short.
 */
const targetUse = 1.3;
const stepMs = 100;
/** Exponents of the correction per step: what builds up must be stopped faster than room is given back. */
const cutExponent = 0.45;
const riseExponent = 0.25;
/** Bounds of one step's correction. */
const maxCut = 0.8;
const maxRise = 1.08;
const minShare = 0.03;

export class OpenShare {
	/**
	 * @example
	 * const share = OpenShare.create();
	 * share.recordUse(0.7, nowMs);
	 */
	static create(): OpenShare {
		return new OpenShare();
	}

	#share = 1;
	#useSum = 0;
	#uses = 0;
	#stepAtMs = 0;

	private constructor() {
		// Made by `create`.
	}

	/** Records the use of the slots that an arriving request finds. */
	recordUse(use: number, nowMs: number): void {
		this.#useSum += use;
		this.#uses++;
		this.#step(nowMs);
	}

	/** Share of the demand that may come, from just above 0 to 1. */
	read(nowMs: number): number {
		this.#step(nowMs);
		return this.#share;
	}

	#step(nowMs: number): void {
		const passedMs = nowMs - this.#stepAtMs;
		if (passedMs < stepMs) {
			return;
		}

		const use = this.#uses === 0 ? 0 : this.#useSum / this.#uses;
		this.#share = Math.min(1, Math.max(minShare, this.#share * computeCorrection(use)));
		this.#stepAtMs = nowMs;
		this.#useSum = 0;
		this.#uses = 0;
	}
}

function computeCorrection(use: number): number {
	if (use <= 0) {
		return maxRise;
	}

	const ratio = targetUse / use;
	return ratio < 1
		? Math.max(maxCut, ratio ** cutExponent)
		: Math.min(maxRise, ratio ** riseExponent);
}
