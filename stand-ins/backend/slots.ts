/**
 * Slots of the stand-in server, given in order of arrival.
 */

/** Counts slots and wakes waiting requests in order. */
export class Slots {
	/**
	 * @example
	 * const slots = Slots.create(20);
	 */
	static create(count: number): Slots {
		return new Slots(count);
	}

	readonly #waiting: Array<() => void> = [];
	#inUse = 0;

	private constructor(readonly count: number) {}

	get inUse(): number {
		return this.#inUse;
	}

	get waiting(): number {
		return this.#waiting.length;
	}

	/** Resolves once a slot is free; `release` gives it back. */
	async acquire(): Promise<void> {
		if (this.#inUse < this.count) {
			this.#inUse++;
			return;
		}

		// The slot passes from the request that ends to the one that waits.
		await new Promise<void>(resolve => {
			this.#waiting.push(resolve);
		});
	}

	release(): void {
		const next = this.#waiting.shift();
		if (next === undefined) {
			this.#inUse--;
			return;
		}

		next();
	}
}
