/**
 * Once calls at the guard: the check right before sending, and the memory of minted keys.
 */
import {type CallContext, type OnceTicket} from '../../call/types.ts';
import {defaultMintedLimits, MintedLedger, type MintedVerdict} from '../../once/minted-ledger.ts';
import {mintedKeyPrefix, verifyMintedKey} from '../../once/minted-key.ts';
import {defaultMaxNonces, NonceRegistry} from '../../once/nonce-registry.ts';
import {type AnswerRecord, type KillVerdict} from '../../once/types.ts';
import {AnswerCollector, CollectorBudget} from './answer-collector.ts';

/** Answers of minted calls above this size are not kept for repeats. */
const maxMintedAnswerBytes = 262_144;

/** Whether a call may be sent now. */
export type SendVerdict = 'send' | 'neverSent' | 'unknown';

/** Memory of the once calls that came to one guard instance. */
export class GuardOnce {
	/**
	 * @param secret - the key that all daemons share, which signs minted keys
	 * @example
	 * const once = GuardOnce.create(identity.instanceId, settings.keys.peer);
	 */
	static create(instanceId: string, secret: string): GuardOnce {
		return new GuardOnce(instanceId, secret);
	}

	readonly nonces = NonceRegistry.create(defaultMaxNonces);
	readonly minted = MintedLedger.create(defaultMintedLimits);
	readonly budget = CollectorBudget.create();

	private constructor(
		readonly instanceId: string,
		readonly secret: string,
	) {}

	/** Opens the turn of one call; undefined for a call that is not a once call. */
	open(context: CallContext): GuardTurn | undefined {
		return context.once === undefined ? undefined : GuardTurn.create(this, context, context.once);
	}

	/** Answers an entry that lost its connection to this guard. */
	killNonce(nonce: string): KillVerdict {
		return this.nonces.kill(nonce);
	}
}

/** One once call at the guard. What it records concerns this turn alone, and not a repeat's. */
export class GuardTurn {
	/**
	 * @example
	 * const turn = GuardTurn.create(once, context, ticket);
	 */
	static create(once: GuardOnce, context: CallContext, ticket: OnceTicket): GuardTurn {
		return new GuardTurn(once, context, ticket);
	}

	readonly #once: GuardOnce;
	readonly #context: CallContext;
	readonly #ticket: OnceTicket;
	readonly #isMinted: boolean;
	#state: 'new' | 'begun' | 'sent' | 'ended' = 'new';

	private constructor(once: GuardOnce, context: CallContext, ticket: OnceTicket) {
		this.#once = once;
		this.#context = context;
		this.#ticket = ticket;
		this.#isMinted = ticket.key.startsWith(mintedKeyPrefix);
	}

	/** Takes the call in; a minted key may have run before, or belong to another instance. */
	begin(): MintedVerdict {
		const verdict = this.#isMinted ? this.#beginMinted() : ({kind: 'run'} as const);
		this.#state = verdict.kind === 'run' ? 'begun' : 'ended';
		return verdict;
	}

	/** Claims the right to send, right before the first byte goes to the backend server. */
	startSend(): SendVerdict {
		const {nonce} = this.#ticket;
		const {nonces, minted} = this.#once;
		if (this.#isMinted ? minted.startSend(nonce) : nonces.startSend(nonce)) {
			this.#state = 'sent';
			return 'send';
		}

		this.#state = 'ended';
		return nonces.isKilled(nonce) ? 'neverSent' : 'unknown';
	}

	/** Records that no byte of the call was sent. */
	cancel(): void {
		const {nonce} = this.#ticket;
		if (this.#isMinted && (this.#state === 'begun' || this.#state === 'sent')) {
			this.#once.minted.cancel(nonce);
		}

		if (!this.#isMinted && this.#state === 'sent') {
			this.#once.nonces.retractSend(nonce);
		}

		this.#state = 'ended';
	}

	/** Records the end of the call; `record` is its whole answer, if one came. */
	finish(record: AnswerRecord | undefined): void {
		const {nonce} = this.#ticket;
		if (this.#isMinted && this.#state === 'sent') {
			this.#once.minted.finish(nonce, record);
		}

		if (!this.#isMinted && this.#state === 'sent') {
			this.#once.nonces.finishSend(nonce);
		}

		this.#state = 'ended';
	}

	/** Ends the turn where nothing else did. */
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

	/** Creates the collector of a minted call's answer; the entry keeps the answers of claims. */
	createCollector(): AnswerCollector | undefined {
		return this.#isMinted
			? AnswerCollector.create(this.#once.budget, maxMintedAnswerBytes)
			: undefined;
	}

	#beginMinted(): MintedVerdict {
		const {key, nonce, fingerprint} = this.#ticket;
		const {service, caller} = this.#context;
		const minted = verifyMintedKey(key, service, caller, this.#once.secret);
		if (minted?.instanceId !== this.#once.instanceId || minted.nonce !== nonce) {
			return {kind: 'unknown', reason: 'other-instance'};
		}

		return this.#once.minted.begin(nonce, fingerprint);
	}
}
