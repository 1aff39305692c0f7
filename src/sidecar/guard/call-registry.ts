/**
 * The guard's record of each call, from which it proves that a request was not run.
 *
 * Ended calls are kept for a short time, so that an entry that lost its link can fetch the outcome. Nonces
 * are kept for longer, so that a request that ran is never reported as not run.
 */
import {defaultMaxNonces, NonceRegistry} from '../../once/nonce-registry.ts';
import {type KillVerdict} from '../../once/types.ts';
import {type GuardedCall} from './guarded-call.ts';

/** How long the outcome of a call is kept for an entry that lost its link. */
const endedCallRetentionMs = 2000;
/** Time within which an entry that lost its link resumes; after it a repeatable request is cancelled. */
const orphanTimeoutMs = 350;

export class CallRegistry {
	/**
	 * @example
	 * const calls = CallRegistry.create();
	 * calls.add(call);
	 */
	static create(): CallRegistry {
		return new CallRegistry();
	}

	/** Calls by nonce: waiting, running and recently ended ones. */
	readonly #calls = new Map<string, GuardedCall>();
	readonly #nonces = NonceRegistry.create(defaultMaxNonces);
	/** Running calls whose link was lost, with the time of the loss. */
	readonly #orphans = new Map<GuardedCall, number>();

	private constructor() {
		// Instances are created with `create`.
	}

	add(call: GuardedCall): void {
		this.#calls.set(call.head.nonce, call);
	}

	findCall(nonce: string): GuardedCall | undefined {
		return this.#calls.get(nonce);
	}

	isRevoked(nonce: string): boolean {
		return this.#nonces.isKilled(nonce);
	}

	/**
	 * Revokes a nonce unless it was sent to the server, so that it can't run if it arrives later.
	 *
	 * @returns `neverSent` proves that the request has not run and never will; no other value does
	 */
	revoke(nonce: string): Exclude<KillVerdict, 'unreachable'> {
		return this.#nonces.kill(nonce);
	}

	/**
	 * Marks a call as started; to be called immediately before it is sent.
	 *
	 * @returns false when its nonce was revoked or used, or is too old to be known
	 */
	tryStart(call: GuardedCall): boolean {
		return this.#nonces.startSend(call.head.nonce);
	}

	/** Records the end of a started call; `mayHaveRun` is false when nothing was sent to the server. */
	recordEnd(call: GuardedCall, mayHaveRun: boolean): void {
		if (mayHaveRun) {
			this.#nonces.finishSend(call.head.nonce);
		} else {
			this.#nonces.retractSend(call.head.nonce);
		}
	}

	/** Lists the calls that were sent and have not ended. */
	listRunning(): GuardedCall[] {
		return [...this.#calls.values()].filter(({phase}) => phase === 'running');
	}

	addOrphan(call: GuardedCall, nowMs: number): void {
		this.#orphans.set(call, nowMs);
	}

	removeOrphan(call: GuardedCall): void {
		this.#orphans.delete(call);
	}

	/** Lists repeatable calls that were not resumed in time after their link was lost. */
	listExpiredOrphans(nowMs: number): GuardedCall[] {
		const expired: GuardedCall[] = [];
		for (const [call, lostAtMs] of this.#orphans) {
			if (nowMs - lostAtMs > orphanTimeoutMs && !call.head.isOnce) {
				expired.push(call);
			}
		}

		return expired;
	}

	/** Removes ended calls whose retention time has passed. */
	removeExpired(nowMs: number): void {
		for (const [nonce, call] of this.#calls) {
			if (call.endedAtMs !== undefined && nowMs - call.endedAtMs > endedCallRetentionMs) {
				this.#calls.delete(nonce);
			}
		}
	}
}
