/** Requests that wait for a slot: the most important first, then the one that must answer earliest. */

export type Waiting = {readonly priority: number; readonly answerByMs: number};

export class WaitingLine<T extends Waiting> {
	/**
	 * @example
	 * const line = WaitingLine.create<GuardedCall>();
	 */
	static create<T extends Waiting>(): WaitingLine<T> {
		return new WaitingLine<T>();
	}

	readonly #waiting: T[] = [];

	private constructor() {
		// Made by `create`.
	}

	get length(): number {
		return this.#waiting.length;
	}

	/** Counts those that would go before a request. */
	countBefore(call: Waiting): number {
		return this.#findPlace(call);
	}

	add(call: T): void {
		this.#waiting.splice(this.#findPlace(call), 0, call);
	}

	/** Takes the first; undefined when nobody waits. */
	take(): T | undefined {
		return this.#waiting.shift();
	}

	remove(call: T): void {
		const index = this.#waiting.indexOf(call);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
		}
	}

	/** Takes all that fulfil a condition. */
	takeWhere(isTaken: (call: T) => boolean): T[] {
		const taken = this.#waiting.filter(call => isTaken(call));
		for (const call of taken) {
			this.remove(call);
		}

		return taken;
	}

	#findPlace(call: Waiting): number {
		let low = 0;
		let high = this.#waiting.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compareWaiting(this.#waiting[middle]!, call) <= 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

function compareWaiting(first: Waiting, second: Waiting): number {
	return first.priority - second.priority || first.answerByMs - second.answerByMs;
}
