/**
 * Retries, circuit state and usage counts that the table and the object store share.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {err, type Result, type ResultAsync} from 'neverthrow';
import {computeBackoffMs, defaultBackoff, type Backoff} from './backoff.ts';
import {Circuit, defaultCircuitOptions, type CircuitOptions, type CircuitState} from './circuit.ts';
import {PlatformError} from './errors.ts';

export type ResilienceOptions = {
	readonly backoff: Backoff;
	readonly circuit: CircuitOptions;
	/** Milliseconds of the monotonic clock. */
	readonly readNowMs: () => number;
	/** A number from 0 to below 1. */
	readonly readRandom: () => number;
	readonly wait: (delayMs: number) => Promise<void>;
};

export const defaultResilienceOptions: ResilienceOptions = {
	backoff: defaultBackoff,
	circuit: defaultCircuitOptions,
	readNowMs: () => performance.now(),
	readRandom: () => Math.random(),
	async wait(delayMs) {
		await wait(delayMs);
	},
};

/** Requests sent to the platform so far, retries included. */
export type PlatformUsage = {
	readonly reads: number;
	readonly writes: number;
	/** Requests that got no answer. */
	readonly failures: number;
	/** Requests that were not sent because the circuit was open. */
	readonly refused: number;
};

export type RequestKind = 'read' | 'write';

type Send<Value> = () => ResultAsync<Value, PlatformError>;

/** Tells whether an error means that the service did not answer. */
function isServiceFailure(error: PlatformError): boolean {
	return error.kind === 'unreachable' || error.kind === 'lostAnswer';
}

/** Sends requests of one service through its circuit, with retries where they are safe. */
export class Resilience {
	/**
	 * @example
	 * const resilience = Resilience.create('table', defaultResilienceOptions);
	 */
	static create(service: string, options: ResilienceOptions): Resilience {
		return new Resilience(service, options, Circuit.create(options.circuit));
	}

	private readonly usage = {reads: 0, writes: 0, failures: 0, refused: 0};

	private constructor(
		private readonly service: string,
		private readonly options: ResilienceOptions,
		private readonly circuit: Circuit,
	) {}

	/** Attempts of one request, the first included. */
	readMaxAttempts(): number {
		return this.options.backoff.attempts;
	}

	/** Sends a request once. `unreachable` when the circuit is open. */
	async send<Value>(kind: RequestKind, send: Send<Value>): Promise<Result<Value, PlatformError>> {
		if (!this.circuit.admit(this.options.readNowMs())) {
			this.usage.refused++;
			return err(PlatformError.create('unreachable', kind, this.service, 'circuit is open'));
		}

		if (kind === 'read') {
			this.usage.reads++;
		} else {
			this.usage.writes++;
		}

		const result = await send();
		if (result.isErr() && isServiceFailure(result.error)) {
			this.usage.failures++;
			this.circuit.recordFailure(this.options.readNowMs(), this.options.readRandom());
			return result;
		}

		this.circuit.recordSuccess();
		return result;
	}

	/** Sends a request until it is answered or its attempts are used up. */
	async retry<Value>(
		kind: RequestKind,
		send: Send<Value>,
		canRetry: (error: PlatformError) => boolean,
	): Promise<Result<Value, PlatformError>> {
		for (let attempt = 1; ; attempt++) {
			const result = await this.send(kind, send);
			if (result.isOk() || attempt >= this.readMaxAttempts() || !canRetry(result.error)) {
				return result;
			}

			await this.waitBeforeRetry(attempt);
		}
	}

	/** Waits for the delay that follows a failed attempt. */
	async waitBeforeRetry(attempt: number): Promise<void> {
		const random = this.options.readRandom();
		await this.options.wait(computeBackoffMs(this.options.backoff, attempt, random));
	}

	/** Counts so far. */
	readUsage(): PlatformUsage {
		return {...this.usage};
	}

	/** Circuit state at present. */
	readCircuitState(): CircuitState {
		return this.circuit.readState();
	}
}

/** Reads may be sent again after any failure of the service. */
export const canRetryRead = isServiceFailure;

/**
 * Writes may be sent again when no byte of them was sent.
 *
 * @example
 * canRetryWrite(PlatformError.create('lostAnswer', 'PutItem', 'a/b', 'timeout')); // False
 */
export function canRetryWrite(error: PlatformError): boolean {
	return error.kind === 'unreachable';
}
