/**
 * Follows the era of the store by the store's own answers (fencing by epoch). The era rises each time that the
 * store returns from an older copy. What it said in an earlier era is then no longer true, whatever its version.
 */

/** How an answer relates to those before it; an `outdated` one was given before the store was restored. */
export type EraRelation = 'current' | 'restored' | 'outdated';

export class EraTracker {
	/**
	 * @example
	 * const era = EraTracker.create();
	 * if (era.record(result.era) === 'restored') readAllAgain();
	 */
	static create(): EraTracker {
		return new EraTracker();
	}

	#current: number | undefined;

	/** The highest era of an answer; 0 before the first. */
	get current(): number {
		return this.#current ?? 0;
	}

	/** Records the era of an answer of the store. */
	record(era: number): EraRelation {
		const known = this.#current;
		if (known === undefined || era === known) {
			this.#current = era;
			return 'current';
		}

		if (era < known) {
			return 'outdated';
		}

		this.#current = era;
		return 'restored';
	}
}
