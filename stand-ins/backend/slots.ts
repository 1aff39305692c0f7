/**
 * Slots of the stand-in server, assigned in order of arrival.
 */

/** A counting semaphore with a FIFO queue. */
export class Slots {
	/**
	 * @example
	 * const slots = Slots.create(20);
	 */
	static create(count: number): Slots {
		return new Slots(count);
	}

	readonly #waiters: Array<() => void> = [];
	#inUseCount = 0;

	private constructor(readonly count: number) {}

	get inUseCount(): number {
		return this.#inUseCount;
	}

	get waitingCount(): number {
		return this.#waiters.length;
	}

	/** Resolves once a slot is assigned; the holder must call `release`. */
	async acquire(): Promise<void> {
		if (this.#inUseCount < this.count) {
			this.#inUseCount++;
			return;
		}

		// `release` hands its slot over to the first waiter, so the count of slots in use stays the same.
		await new Promise<void>(resolve => {
			this.#waiters.push(resolve);
		});
	}

	release(): void {
		const next = this.#waiters.shift();
		if (next === undefined) {
			this.#inUseCount--;
			return;
		}

		next();
	}
}
