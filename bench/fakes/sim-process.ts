/**
 * A simulated process that can be killed, and frozen and thawed.
 */

/** Steps that a frozen process keeps; what its sockets hold is bounded. */
const maxParked = 50;

export class SimProcess {
	isRunning = true;
	isFrozen = false;
	readonly #parked: Array<() => void | Promise<void>> = [];

	/** Stops the process without a word. */
	kill(): void {
		this.isRunning = false;
	}

	freeze(): void {
		this.isFrozen = true;
	}

	/** Lets a frozen process go on with all that waited for it. */
	async thaw(): Promise<void> {
		this.isFrozen = false;
		for (const task of this.#parked.splice(0)) {
			await task();
		}
	}

	/** Runs a step of the process, or keeps it until a frozen process goes on. */
	protected run(step: () => void | Promise<void>): void {
		if (!this.isRunning) {
			return;
		}

		if (!this.isFrozen) {
			void step();
			return;
		}

		// A frozen process loses its timers' ticks but keeps what its sockets hold.
		if (this.#parked.length < maxParked) {
			this.#parked.push(step);
		}
	}
}
