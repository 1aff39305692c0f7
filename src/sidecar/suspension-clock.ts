/**
 * Counts the time for which this process was suspended together with its machine.
 *
 * The steady clock stops during a suspension, so that deadlines and drain times which ended meanwhile would seem
 * to go on. The system clock doesn't stop: what it is ahead since the last reading is the suspension. It may also
 * have been set forward; requests that wait are then refused as late, which harms less than running them.
 */

/** A smaller difference between the clocks is drift or the delay between reading them. */
const minSuspensionMs = 250;

export type Clocks = {
	/** System time in Unix milliseconds. */
	readSystemMs(): number;
	/** Steady time in milliseconds. */
	readSteadyMs(): number;
};

export class SuspensionClock {
	/**
	 * @example
	 * const clock = SuspensionClock.create({readSystemMs: () => Date.now(), readSteadyMs: () => performance.now()});
	 * const before = clock.readSuspendedMs();
	 */
	static create(clocks: Clocks): SuspensionClock {
		return new SuspensionClock(clocks);
	}

	#systemMs: number;
	#steadyMs: number;
	#suspendedMs = 0;

	private constructor(private readonly clocks: Clocks) {
		this.#systemMs = clocks.readSystemMs();
		this.#steadyMs = clocks.readSteadyMs();
	}

	/** Returns the time in milliseconds that all suspensions since the start took. */
	readSuspendedMs(): number {
		const systemMs = this.clocks.readSystemMs();
		const steadyMs = this.clocks.readSteadyMs();
		const aheadMs = systemMs - this.#systemMs - (steadyMs - this.#steadyMs);
		this.#systemMs = systemMs;
		this.#steadyMs = steadyMs;
		if (aheadMs >= minSuspensionMs) {
			this.#suspendedMs += aheadMs;
		}

		return this.#suspendedMs;
	}
}

const processClock = SuspensionClock.create({
	readSystemMs: () => Date.now(),
	readSteadyMs: () => performance.now(),
});

/** Returns the time in milliseconds for which this process was suspended since its start. */
export function readSuspendedMs(): number {
	return processClock.readSuspendedMs();
}
