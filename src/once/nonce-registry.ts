/**
 * Remembers what was sent under which nonce, in bounded memory.
 *
 * The daemon that makes claims and the guard that sends calls each keep one. What it forgets moves a
 * watermark: a nonce at or below the watermark that is not remembered is never sent again and never
 * told as unsent. So forgetting costs certainty and never safety, whatever the clocks say.
 */
import {parseNonceTime} from './nonce.ts';
import {type KillVerdict} from './types.ts';

type NonceState = 'killed' | 'inFlight' | 'ended';

export const defaultMaxNonces = 20_000;

/** Trailing digits of a nonce's time that one generation spans: 36 ** 2 = 1296 ms. */
const generationDigits = 2;

/** Reads the generation of a nonce: the nonces of about one second. */
function readGeneration(nonce: string): string | undefined {
	return parseNonceTime(nonce)?.slice(0, -generationDigits);
}

/** What was sent under the nonces that one daemon has met. */
export class NonceRegistry {
	/**
	 * @example
	 * const nonces = NonceRegistry.create(defaultMaxNonces);
	 */
	static create(maxNonces: number): NonceRegistry {
		return new NonceRegistry(maxNonces);
	}

	private readonly generations = new Map<string, Map<string, NonceState>>();
	private count = 0;
	private watermark = '';

	private constructor(private readonly maxNonces: number) {}

	/**
	 * Claims the right to send under a nonce; to be called right before the first byte goes out.
	 *
	 * @returns false when nothing may be sent: the nonce was killed, was used before or is forgotten
	 * @example
	 * if (!nonces.startSend(nonce)) return refuse();
	 */
	startSend(nonce: string): boolean {
		if (this.isForgotten(nonce) || this.findState(nonce) !== undefined) {
			return false;
		}

		this.addState(nonce, 'inFlight');
		return true;
	}

	/** Records that a sent call is no longer awaited. */
	endSend(nonce: string): void {
		this.replaceInFlight(nonce, 'ended');
	}

	/** Records the proof that nothing was sent after all; the nonce is dead from now on. */
	retractSend(nonce: string): void {
		this.replaceInFlight(nonce, 'killed');
	}

	/** Kills a nonce unless something was sent under it. */
	kill(nonce: string): Exclude<KillVerdict, 'unreachable'> {
		if (this.isForgotten(nonce)) {
			return 'forgotten';
		}

		const state = this.findState(nonce);
		switch (state) {
			case undefined: {
				this.addState(nonce, 'killed');
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
		return this.findState(nonce) === 'killed';
	}

	/** Number of nonces that are remembered. */
	countNonces(): number {
		return this.count;
	}

	private findState(nonce: string): NonceState | undefined {
		return this.generations.get(readGeneration(nonce) ?? '')?.get(nonce);
	}

	private isForgotten(nonce: string): boolean {
		const generation = readGeneration(nonce);
		return generation === undefined || generation <= this.watermark;
	}

	private replaceInFlight(nonce: string, state: NonceState): void {
		const generation = this.generations.get(readGeneration(nonce) ?? '');
		if (generation?.get(nonce) === 'inFlight') {
			generation.set(nonce, state);
		}
	}

	private addState(nonce: string, state: NonceState): void {
		const name = readGeneration(nonce)!;
		const generation = this.generations.get(name) ?? new Map<string, NonceState>();
		this.generations.set(name, generation);
		generation.set(nonce, state);
		this.count++;
		while (this.count > this.maxNonces) {
			this.pruneOldest();
		}
	}

	/** Forgets the oldest generation by the nonces' own time, so that one fast clock does no harm. */
	private pruneOldest(): void {
		let oldest: string | undefined;
		for (const name of this.generations.keys()) {
			if (oldest === undefined || name < oldest) {
				oldest = name;
			}
		}

		if (oldest === undefined) {
			return;
		}

		this.count -= this.generations.get(oldest)!.size;
		this.generations.delete(oldest);
		this.watermark = oldest;
	}
}
