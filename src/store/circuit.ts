/**
 * Circuit breaker of one platform service.
 *
 * While the service is down, calls fail at once instead of waiting for timeouts, and a single probe
 * at a time finds out when it is back.
 */

export const circuitStates = {closed: 'closed', open: 'open', halfOpen: 'half-open'} as const;

export type CircuitState = (typeof circuitStates)[keyof typeof circuitStates];

export type CircuitOptions = {
	/** Failures in a row that open the circuit. */
	readonly maxFailures: number;
	/** Milliseconds for which an open circuit lets nothing through. */
	readonly openMs: number;
};

export const defaultCircuitOptions: CircuitOptions = {maxFailures: 5, openMs: 1000};

/** Decides whether a request may be sent. Times are milliseconds of the monotonic clock. */
export class Circuit {
	/**
	 * @example
	 * const circuit = Circuit.create(defaultCircuitOptions);
	 */
	static create(options: CircuitOptions): Circuit {
		return new Circuit(options);
	}

	private state: CircuitState = circuitStates.closed;
	private failures = 0;
	private openUntilMs = 0;

	private constructor(private readonly options: CircuitOptions) {}

	/** Admits a request or refuses it; an admitted one has to be recorded. */
	admit(nowMs: number): boolean {
		switch (this.state) {
			case 'closed': {
				return true;
			}

			case 'open':
			case 'half-open': {
				if (nowMs < this.openUntilMs) {
					return false;
				}

				// A probe that is never recorded must not keep the circuit open for ever.
				this.state = circuitStates.halfOpen;
				this.openUntilMs = nowMs + this.options.openMs;
				return true;
			}
		}
	}

	/** Records that the service answered an admitted request. */
	recordSuccess(): void {
		this.state = circuitStates.closed;
		this.failures = 0;
	}

	/**
	 * Records that an admitted request got no answer.
	 *
	 * @param random - a number from 0 to below 1, which spreads the probes of many daemons
	 */
	recordFailure(nowMs: number, random: number): void {
		this.failures++;
		if (this.state === circuitStates.closed && this.failures < this.options.maxFailures) {
			return;
		}

		this.state = circuitStates.open;
		this.openUntilMs = nowMs + this.options.openMs * (0.5 + random);
	}

	/** State at present. */
	readState(): CircuitState {
		return this.state;
	}
}
