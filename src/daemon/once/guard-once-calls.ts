/**
 * Once calls at the guard: checks the nonce right before sending and records the minted keys.
 */
import {type CallContext, type ClaimReference} from '../../call/types.ts';
import {
	defaultMintedKeyLimits,
	MintedKeyRegistry,
	type MintedKeyDecision,
} from '../../once/minted-key-registry.ts';
import {mintedKeyPrefix, verifyMintedKey} from '../../once/minted-key.ts';
import {defaultMaxNonces, NonceRegistry} from '../../once/nonce-registry.ts';
import {type AnswerRecord, type KillVerdict} from '../../once/types.ts';
import {AnswerCollector, CollectorBudget} from './answer-collector.ts';

/** Size in bytes of the largest answer of a minted call that is stored for later attempts. */
const maxMintedAnswerBytes = 262_144;

/** Whether a call may be sent; otherwise whether it is certain that it was never sent. */
export type SendDecision = 'send' | 'neverSent' | 'unknown';

/** Records the nonces and minted keys of the once calls that reach one guard instance. */
export class GuardOnceCalls {
	/**
	 * @param secret - key shared by all daemons that signs minted keys
	 * @example
	 * const onceCalls = GuardOnceCalls.create(identity.instanceId, settings.keys.peer);
	 */
	static create(instanceId: string, secret: string): GuardOnceCalls {
		return new GuardOnceCalls(instanceId, secret);
	}

	readonly nonces = NonceRegistry.create(defaultMaxNonces);
	readonly minted = MintedKeyRegistry.create(defaultMintedKeyLimits);
	readonly budget = CollectorBudget.create();

	private constructor(
		readonly instanceId: string,
		readonly secret: string,
	) {}

	/** Creates the once call of a context; undefined if the context has no claim reference. */
	createCall(context: CallContext): GuardOnceCall | undefined {
		return context.once === undefined
			? undefined
			: GuardOnceCall.create(this, context, context.once);
	}

	/** Kills a nonce for an entry that lost its connection to this guard. */
	killNonce(nonce: string): KillVerdict {
		return this.nonces.kill(nonce);
	}
}

/**
 * One attempt of a once call at the guard. It changes only the records of this attempt, never those
 * of another attempt with the same key.
 */
export class GuardOnceCall {
	/**
	 * @example
	 * const onceCall = GuardOnceCall.create(onceCalls, context, claimReference);
	 */
	static create(
		onceCalls: GuardOnceCalls,
		context: CallContext,
		claimReference: ClaimReference,
	): GuardOnceCall {
		return new GuardOnceCall(onceCalls, context, claimReference);
	}

	readonly #onceCalls: GuardOnceCalls;
	readonly #context: CallContext;
	readonly #claimReference: ClaimReference;
	readonly #isMinted: boolean;
	#state: 'new' | 'begun' | 'sent' | 'ended' = 'new';

	private constructor(
		onceCalls: GuardOnceCalls,
		context: CallContext,
		claimReference: ClaimReference,
	) {
		this.#onceCalls = onceCalls;
		this.#context = context;
		this.#claimReference = claimReference;
		this.#isMinted = claimReference.key.startsWith(mintedKeyPrefix);
	}

	/** Registers the call. A minted key may have been used before or belong to another instance. */
	begin(): MintedKeyDecision {
		const decision = this.#isMinted ? this.#beginMinted() : ({kind: 'run'} as const);
		this.#state = decision.kind === 'run' ? 'begun' : 'ended';
		return decision;
	}

	/**
	 * Checks and records that the call may be sent. Must be called right before the first byte goes to
	 * the backend server.
	 */
	startSend(): SendDecision {
		const {nonce} = this.#claimReference;
		const {nonces, minted} = this.#onceCalls;
		if (this.#isMinted ? minted.startSend(nonce) : nonces.startSend(nonce)) {
			this.#state = 'sent';
			return 'send';
		}

		this.#state = 'ended';
		return nonces.isKilled(nonce) ? 'neverSent' : 'unknown';
	}

	/** Records that no byte of the call was sent. */
	cancel(): void {
		const {nonce} = this.#claimReference;
		if (this.#isMinted && (this.#state === 'begun' || this.#state === 'sent')) {
			this.#onceCalls.minted.cancel(nonce);
		}

		if (!this.#isMinted && this.#state === 'sent') {
			this.#onceCalls.nonces.retractSend(nonce);
		}

		this.#state = 'ended';
	}

	/** Records the end of the call; `record` is its answer if that was received whole. */
	finish(record: AnswerRecord | undefined): void {
		const {nonce} = this.#claimReference;
		if (this.#isMinted && this.#state === 'sent') {
			this.#onceCalls.minted.finish(nonce, record);
		}

		if (!this.#isMinted && this.#state === 'sent') {
			this.#onceCalls.nonces.finishSend(nonce);
		}

		this.#state = 'ended';
	}

	/** Cancels or finishes the call unless that was done before. */
	close(): void {
		switch (this.#state) {
			case 'begun': {
				this.cancel();
				return;
			}

			case 'sent': {
				this.finish(undefined);
				return;
			}

			case 'new':
			case 'ended': {
				this.#state = 'ended';
			}
		}
	}

	/** Creates the collector for a minted call; answers of claimed calls are stored by the entry. */
	createCollector(): AnswerCollector | undefined {
		return this.#isMinted
			? AnswerCollector.create(this.#onceCalls.budget, maxMintedAnswerBytes)
			: undefined;
	}

	#beginMinted(): MintedKeyDecision {
		const {key, nonce, fingerprint} = this.#claimReference;
		const {service, caller} = this.#context;
		const minted = verifyMintedKey(key, service, caller, this.#onceCalls.secret);
		if (minted?.instanceId !== this.#onceCalls.instanceId || minted.nonce !== nonce) {
			return {kind: 'unknown', reason: 'other-instance'};
		}

		return this.#onceCalls.minted.begin(nonce, fingerprint);
	}
}
