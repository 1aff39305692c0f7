/**
 * Remembers what was sent under which nonce, in bounded memory.
 *
 * The daemon that makes claims and the guard that sends calls each keep one. A nonce that was
 * forgotten is never sent again and never told as unsent, so forgetting costs certainty and not safety.
 */
import {RecentMap} from './recent-map.ts';
import {type KillVerdict} from './types.ts';

type NonceState = 'killed' | 'inFlight' | 'ended';

export const defaultMaxNonces = 20_000;

/** What was sent under the nonces that one daemon has met. */
export class NonceRegistry {
	/**
	 * @example
	 * const nonces = NonceRegistry.create(defaultMaxNonces);
	 */
	static create(maxNonces: number): NonceRegistry {
		return new NonceRegistry(RecentMap.create(maxNonces));
	}

	private constructor(private readonly states: RecentMap<NonceState>) {}

	/**
	 * Claims the right to send under a nonce; to be called right before the first byte goes out.
	 *
	 * @returns false when nothing may be sent: the nonce was killed, was used before or is forgotten
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

	/** Records that a sent call is no longer awaited. */
	finishSend(nonce: string): void {
		this.replaceInFlight(nonce, 'ended');
	}

	/** Records the proof that nothing was sent after all; the nonce is dead from now on. */
	retractSend(nonce: string): void {
		this.replaceInFlight(nonce, 'killed');
	}

	/** Kills a nonce unless something was sent under it. */
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

	/** Tells whether a nonce is known to be dead. */
	isKilled(nonce: string): boolean {
		return this.states.read(nonce) === 'killed';
	}

	/** Number of nonces that are remembered. */
	countNonces(): number {
		return this.states.count();
	}

	private replaceInFlight(nonce: string, state: NonceState): void {
		if (this.states.read(nonce) === 'inFlight') {
			this.states.set(nonce, state);
		}
	}
}
