/**
 * Leaky bucket (generic cell rate algorithm) for a server that names how many requests a second it takes.
 *
 * All requests to the server pass its guard, so the bucket counts those of all instances together. The limit holds for
 * as long as the server names it.
 */
import {type KnownLimit, type ServerLimit} from '../types.ts';

/** Requests that may be sent at once, in seconds of the limit. */
const burstSeconds = 0.5;
/** A server that names less still gets this many requests a second: their answers tell when the limit ends. */
const minPerSecond = 0.25;

const unknownLimit: KnownLimit = {kind: 'unknown'};

/** Returns how many requests a server with a limit gets at once; the bucket holds as many. */
export function computeBurst(perSecond: number): number {
	return 1 + perSecond * burstSeconds;
}

export class RequestPacer {
	/**
	 * @example
	 * const pacer = RequestPacer.create();
	 * pacer.recordNamed({kind: 'named', perSecond: 23.1}, sentAtMs, nowMs);
	 * const delayMs = pacer.computeDelayMs(performance.now());
	 */
	static create(): RequestPacer {
		return new RequestPacer();
	}

	#limit: KnownLimit = unknownLimit;
	/** When the bucket is empty again. */
	#emptyAtMs = Number.NEGATIVE_INFINITY;
	#namedAtMs = Number.NEGATIVE_INFINITY;

	private constructor() {
		// Instances are created with `create`.
	}

	get limit(): KnownLimit {
		return this.#limit;
	}

	/**
	 * Applies the limit in an answer of the server.
	 *
	 * @param sentAtMs - when the request of the answer was sent: an answer without a limit ends one only if its request
	 *   was sent after the limit was named last
	 */
	recordNamed(named: ServerLimit, sentAtMs: number, nowMs: number): void {
		switch (named.kind) {
			case 'named': {
				this.#namedAtMs = nowMs;
				this.#setPace(named.perSecond, nowMs);
				break;
			}

			case 'none': {
				if (sentAtMs > this.#namedAtMs) {
					this.#limit = {kind: 'none'};
				}

				break;
			}

			case 'invalid': {
				break;
			}
		}
	}

	/** Applies a limit that a peer has seen; the server's own answers take precedence. */
	recordHint(perSecond: number, nowMs: number): void {
		if (this.#limit.kind === 'unknown') {
			this.#setPace(perSecond, nowMs);
		}
	}

	/** Forgets the limit, when another server uses the address. */
	reset(): void {
		this.#limit = unknownLimit;
		this.#emptyAtMs = Number.NEGATIVE_INFINITY;
		this.#namedAtMs = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Returns after what time a request may be sent, in milliseconds; 0 if it may be sent now.
	 *
	 * @param ahead - requests that are sent before it
	 */
	computeDelayMs(nowMs: number, ahead = 0): number {
		if (this.#limit.kind !== 'paced') {
			return 0;
		}

		const {perSecond} = this.#limit;
		const toleranceMs = ((computeBurst(perSecond) - 1) * 1000) / perSecond;
		const nextAtMs = Math.max(nowMs, this.#emptyAtMs - toleranceMs);
		return nextAtMs + (ahead * 1000) / perSecond - nowMs;
	}

	/** Counts a request that is sent. */
	recordSend(nowMs: number): void {
		if (this.#limit.kind === 'paced') {
			this.#emptyAtMs = Math.max(nowMs, this.#emptyAtMs) + 1000 / this.#limit.perSecond;
		}
	}

	/** Returns how full the bucket is: from 0 to 1, when the next request has to wait. */
	computeFill(nowMs: number): number {
		if (this.#limit.kind !== 'paced') {
			return 0;
		}

		const {perSecond} = this.#limit;
		const heldRequests = (Math.max(0, this.#emptyAtMs - nowMs) * perSecond) / 1000;
		return Math.min(1, heldRequests / computeBurst(perSecond));
	}

	/** Returns how many requests of a service time run at a time at the limit; infinite without one. */
	computeConcurrency(serviceMs: number): number {
		return this.#limit.kind === 'paced'
			? (this.#limit.perSecond * serviceMs) / 1000
			: Number.POSITIVE_INFINITY;
	}

	/** Starts with a full bucket: requests that were sent before the limit was known are not counted. */
	#setPace(perSecond: number, nowMs: number): void {
		const paced = Math.max(minPerSecond, perSecond);
		if (this.#limit.kind !== 'paced') {
			this.#emptyAtMs = nowMs + (computeBurst(paced) * 1000) / paced;
		}

		this.#limit = {kind: 'paced', perSecond: paced};
	}
}
