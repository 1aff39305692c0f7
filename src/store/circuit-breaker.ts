/**
 * Circuit breaker for one service of the platform.
 *
 * While the service is unavailable, requests fail immediately instead of waiting for a timeout. One
 * probe request at a time detects when the service is available again.
 */

export const circuitStates = {closed: 'closed', open: 'open', halfOpen: 'half-open'} as const;

export type CircuitState = (typeof circuitStates)[keyof typeof circuitStates];

export type CircuitBreakerOptions = {
	/** Number of consecutive failures that opens the circuit. */
	readonly failureThreshold: number;
	/**
	 * Mean time in milliseconds for which the open circuit rejects all requests. The half-open circuit
	 * admits the next probe after the same time if a probe has no recorded result.
	 */
	readonly openDurationMs: number;
};

export const defaultCircuitBreakerOptions: CircuitBreakerOptions = {
	failureThreshold: 5,
	openDurationMs: 1000,
};

/** Decides whether a request may be sent. Times are milliseconds of the monotonic clock. */
export class CircuitBreaker {
	/**
	 * @example
	 * const circuitBreaker = CircuitBreaker.create(defaultCircuitBreakerOptions);
	 */
	static create(options: CircuitBreakerOptions): CircuitBreaker {
		return new CircuitBreaker(options);
	}

	private state: CircuitState = circuitStates.closed;
	private consecutiveFailures = 0;
	private openUntilMs = 0;

	private constructor(private readonly options: CircuitBreakerOptions) {}

	/**
	 * Admits or rejects a request. The caller must record the result of each admitted request.
	 *
	 * @returns whether the request may be sent
	 */
	tryAdmit(nowMs: number): boolean {
		switch (this.state) {
			case 'closed': {
				return true;
			}

			case 'open':
			case 'half-open': {
				if (nowMs < this.openUntilMs) {
					return false;
				}

				// Bounds the wait for the probe, so that a probe without a recorded result does not block
				// all later requests.
				this.state = circuitStates.halfOpen;
				this.openUntilMs = nowMs + this.options.openDurationMs;
				return true;
			}
		}
	}

	/** Records that the service responded to an admitted request; closes the circuit. */
	recordSuccess(): void {
		this.state = circuitStates.closed;
		this.consecutiveFailures = 0;
	}

	/**
	 * Records that an admitted request got no response.
	 *
	 * @param random - random number in [0, 1); spreads the probes of many daemons over time
	 */
	recordFailure(nowMs: number, random: number): void {
		this.consecutiveFailures++;
		if (
			this.state === circuitStates.closed &&
			this.consecutiveFailures < this.options.failureThreshold
		) {
			return;
		}

		this.state = circuitStates.open;
		this.openUntilMs = nowMs + this.options.openDurationMs * (0.5 + random);
	}

	readState(): CircuitState {
		return this.state;
	}
}
