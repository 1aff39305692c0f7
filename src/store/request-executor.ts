/**
 * Sends requests through a circuit breaker, with retries, and counts them. The clients of the table and
 * of the object store share this code.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {err, type Result, type ResultAsync} from 'neverthrow';
import {computeBackoffMs, defaultBackoff, type BackoffOptions} from './backoff.ts';
import {
	CircuitBreaker,
	defaultCircuitBreakerOptions,
	type CircuitBreakerOptions,
	type CircuitState,
} from './circuit-breaker.ts';
import {PlatformError} from './errors.ts';

export type RequestExecutorOptions = {
	readonly backoff: BackoffOptions;
	readonly circuitBreaker: CircuitBreakerOptions;
	/** Returns the time of the monotonic clock in milliseconds. */
	readonly readNowMs: () => number;
	/** Returns a random number in [0, 1). */
	readonly readRandom: () => number;
	readonly wait: (delayMs: number) => Promise<void>;
};

export const defaultRequestExecutorOptions: RequestExecutorOptions = {
	backoff: defaultBackoff,
	circuitBreaker: defaultCircuitBreakerOptions,
	readNowMs: () => performance.now(),
	readRandom: () => Math.random(),
	async wait(delayMs) {
		await wait(delayMs);
	},
};

/**
 * Numbers of requests to one service of the platform since the start, including retries. A query or
 * list counts as one request, whatever its number of pages.
 */
export type PlatformUsage = {
	readonly reads: number;
	readonly writes: number;
	/** Requests without a valid response. */
	readonly failures: number;
	/** Requests that were not sent because the circuit breaker rejected them. */
	readonly refused: number;
};

export type RequestType = 'read' | 'write';

type SendRequest<Value> = () => ResultAsync<Value, PlatformError>;

/** Returns whether an error means that the service sent no valid response. */
function isServiceUnavailable(error: PlatformError): boolean {
	return error.kind === 'unreachable' || error.kind === 'lostAnswer';
}

/** Sends requests to one service through its circuit breaker, with retries where they are safe. */
export class RequestExecutor {
	/**
	 * @example
	 * const executor = RequestExecutor.create('table', defaultRequestExecutorOptions);
	 */
	static create(service: string, options: RequestExecutorOptions): RequestExecutor {
		return new RequestExecutor(service, options, CircuitBreaker.create(options.circuitBreaker));
	}

	private readonly usage = {reads: 0, writes: 0, failures: 0, refused: 0};

	private constructor(
		private readonly service: string,
		private readonly options: RequestExecutorOptions,
		private readonly circuitBreaker: CircuitBreaker,
	) {}

	/** Returns the maximum number of attempts per request, including the first. */
	readMaxAttempts(): number {
		return this.options.backoff.maxAttempts;
	}

	/**
	 * Sends a request once.
	 *
	 * @returns the result, or an `unreachable` error when the circuit breaker rejects the request
	 */
	async send<Value>(
		type: RequestType,
		send: SendRequest<Value>,
	): Promise<Result<Value, PlatformError>> {
		if (!this.circuitBreaker.tryAdmit(this.options.readNowMs())) {
			this.usage.refused++;
			return err(
				PlatformError.create('unreachable', type, this.service, 'the circuit breaker is open'),
			);
		}

		if (type === 'read') {
			this.usage.reads++;
		} else {
			this.usage.writes++;
		}

		const result = await send();
		if (result.isErr() && isServiceUnavailable(result.error)) {
			this.usage.failures++;
			this.circuitBreaker.recordFailure(this.options.readNowMs(), this.options.readRandom());
			return result;
		}

		this.circuitBreaker.recordSuccess();
		return result;
	}

	/** Sends a request until it succeeds, fails with an error that forbids a retry, or has no attempts left. */
	async sendWithRetries<Value>(
		type: RequestType,
		send: SendRequest<Value>,
		canRetry: (error: PlatformError) => boolean,
	): Promise<Result<Value, PlatformError>> {
		for (let attempt = 1; ; attempt++) {
			const result = await this.send(type, send);
			if (result.isOk() || attempt >= this.readMaxAttempts() || !canRetry(result.error)) {
				return result;
			}

			await this.waitBeforeRetry(attempt);
		}
	}

	/** Waits for the backoff delay after a failed attempt. */
	async waitBeforeRetry(attempt: number): Promise<void> {
		const random = this.options.readRandom();
		await this.options.wait(computeBackoffMs(this.options.backoff, attempt, random));
	}

	readUsage(): PlatformUsage {
		return {...this.usage};
	}

	readCircuitState(): CircuitState {
		return this.circuitBreaker.readState();
	}
}

/** Returns whether a read may be retried: after every failure without a valid response. */
export const canRetryRead = isServiceUnavailable;

/**
 * Returns whether a write may be retried: only when no byte of the failed attempt was sent.
 *
 * @example
 * canRetryWrite(PlatformError.create('lostAnswer', 'PutItem', 'a/b', 'timeout')); // False
 */
export function canRetryWrite(error: PlatformError): boolean {
	return error.kind === 'unreachable';
}
