/**
 * Bounded in-memory registry of nonces and what was sent under them.
 *
 * The daemon that claims keys and the guard that sends calls each have one. An evicted nonce is never
 * sent again and never reported as `neverSent`, so eviction makes results unknown but never lets a call
 * run twice.
 */
import {BoundedNonceMap} from './bounded-nonce-map.ts';
import {type KillVerdict} from './types.ts';

/**
 * `killed`: nothing was sent and nothing may be; `ended`: sent, and the answer is no longer
 * awaited.
 */
type NonceState = 'killed' | 'inFlight' | 'ended';

export const defaultMaxNonces = 20_000;

/** Send states of the nonces that one daemon has seen. */
export class NonceRegistry {
	/**
	 * @example
	 * const nonces = NonceRegistry.create(defaultMaxNonces);
	 */
	static create(maxNonces: number): NonceRegistry {
		return new NonceRegistry(BoundedNonceMap.create(maxNonces));
	}

	private constructor(private readonly states: BoundedNonceMap<NonceState>) {}

	/**
	 * Marks a nonce as sent; call it immediately before the first byte is sent.
	 *
	 * @returns false if nothing may be sent: the nonce was killed, used before or evicted
	 * @example
	 * if (!nonces.startSend(nonce)) return refuse();
	 */
	startSend(nonce: string): boolean {
		if (this.states.isForgotten(nonce) || this.states.read(nonce) !== undefined) {
			return false;
		}

		this.states.set(nonce, 'inFlight');
		return true;
	}

	/** Records that the answer of a sent call is no longer awaited. */
	finishSend(nonce: string): void {
		this.replaceInFlightState(nonce, 'ended');
	}

	/** Records that nothing was sent after all; call it only if that is certain. The nonce counts as killed. */
	retractSend(nonce: string): void {
		this.replaceInFlightState(nonce, 'killed');
	}

	/** Kills a nonce unless something was sent under it or it was evicted. */
	kill(nonce: string): Exclude<KillVerdict, 'unreachable'> {
		if (this.states.isForgotten(nonce)) {
			return 'forgotten';
		}

		const state = this.states.read(nonce);
		switch (state) {
			case undefined: {
				this.states.set(nonce, 'killed');
				return 'neverSent';
			}

			case 'killed': {
				return 'neverSent';
			}

			case 'inFlight':
			case 'ended': {
				return state;
			}
		}
	}

	/** Returns whether a nonce is known to be killed. */
	isKilled(nonce: string): boolean {
		return this.states.read(nonce) === 'killed';
	}

	/** Returns the number of nonces in memory. */
	countNonces(): number {
		return this.states.count();
	}

	private replaceInFlightState(nonce: string, state: NonceState): void {
		if (this.states.read(nonce) === 'inFlight') {
			this.states.set(nonce, state);
		}
	}
}
