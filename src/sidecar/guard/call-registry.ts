/**
 * What the guard knows of each send: the proof of what was not run.
 *
 * Ended calls are kept for a while, so that an entry that lost its link can hear the end. What was sent
 * under which nonce is remembered for longer, so that a request that ran is never told as not run.
 */
import {defaultMaxNonces, NonceRegistry} from '../../once/nonce-registry.ts';
import {type KillVerdict} from '../../once/types.ts';
import {type GuardedCall} from './guarded-call.ts';

/** For this long the end of a request is kept, so that an entry that lost its link can ask for it. */
const keptEndMs = 2000;
/** An entry that lost its link asks within this time; then a repeatable request is cancelled. */
const orphanMs = 350;

export class CallRegistry {
	/**
	 * @example
	 * const calls = CallRegistry.create();
	 * calls.add(call);
	 */
	static create(): CallRegistry {
		return new CallRegistry();
	}

	/** Calls by nonce: waiting, running, and ended a short time ago. */
	readonly #calls = new Map<string, GuardedCall>();
	readonly #nonces = NonceRegistry.create(defaultMaxNonces);
	/** Running calls whose entry was lost, with the time of the loss. */
	readonly #orphans = new Map<GuardedCall, number>();

	private constructor() {
		// Made by `create`.
	}

	add(call: GuardedCall): void {
		this.#calls.set(call.head.nonce, call);
	}

	findCall(nonce: string): GuardedCall | undefined {
		return this.#calls.get(nonce);
	}

	isBarred(nonce: string): boolean {
		return this.#nonces.isKilled(nonce);
	}

	/**
	 * Makes sure that a nonce doesn't run when it comes late, if it has not run yet.
	 *
	 * @returns `neverSent` is the only proof that it has not run and never will
	 */
	bar(nonce: string): Exclude<KillVerdict, 'unreachable'> {
		return this.#nonces.kill(nonce);
	}

	/**
	 * Claims the right to run a call; to be called right before it is sent.
	 *
	 * @returns false when its nonce was barred or is too old to tell
	 */
	begin(call: GuardedCall): boolean {
		return this.#nonces.startSend(call.head.nonce);
	}

	/** Records the end of a call that was begun; `mayHaveRun` is false when the server never got it. */
	finish(call: GuardedCall, mayHaveRun: boolean): void {
		if (mayHaveRun) {
			this.#nonces.finishSend(call.head.nonce);
		} else {
			this.#nonces.retractSend(call.head.nonce);
		}
	}

	addOrphan(call: GuardedCall, nowMs: number): void {
		this.#orphans.set(call, nowMs);
	}

	removeOrphan(call: GuardedCall): void {
		this.#orphans.delete(call);
	}

	/** Lists repeatable calls whose entry did not come back in time. */
	listAbandoned(nowMs: number): GuardedCall[] {
		const abandoned: GuardedCall[] = [];
		for (const [call, sinceMs] of this.#orphans) {
			if (nowMs - sinceMs > orphanMs && !call.head.isOnce) {
				abandoned.push(call);
			}
		}

		return abandoned;
	}

	/** Lets go of ends that nobody has asked for in time. */
	prune(nowMs: number): void {
		for (const [nonce, call] of this.#calls) {
			if (call.endedAtMs !== undefined && nowMs - call.endedAtMs > keptEndMs) {
				this.#calls.delete(nonce);
			}
		}
	}
}
