/**
 * What the guard knows of each send: the proof of what was not run.
 *
 * Ended calls are kept for a while, so that an entry that lost its link can hear the end; nonces that were
 * told as not run never run any more.
 */
import {type GuardedCall} from './guarded-call.ts';

/** For this long the end of a request is kept, so that an entry that lost its link can ask for it. */
const keptEndMs = 2000;
/** An entry that lost its link asks within this time; then a repeatable request is cancelled. */
const orphanMs = 350;
/** A frame that is older than the longest request can't arrive any more. */
const barredMs = 60_000;

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
	/** Nonces that must not run any more, with the time of the verdict. */
	readonly #barred = new Map<string, number>();
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
		return this.#barred.has(nonce);
	}

	/** Makes sure that a nonce that was never seen doesn't run when it comes late. */
	bar(nonce: string, nowMs: number): void {
		this.#barred.set(nonce, nowMs);
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

	/** Forgets what nobody can ask for any more. */
	prune(nowMs: number): void {
		for (const [nonce, call] of this.#calls) {
			if (call.endedAtMs !== undefined && nowMs - call.endedAtMs > keptEndMs) {
				this.#calls.delete(nonce);
			}
		}

		for (const [nonce, atMs] of this.#barred) {
			if (nowMs - atMs > barredMs) {
				this.#barred.delete(nonce);
			}
		}
	}
}
