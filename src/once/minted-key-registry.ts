/**
 * In-memory registry of the minted keys whose calls run on one guard.
 *
 * Memory is bounded: a key that was evicted gets the result `unknown` and never runs.
 */
import {BoundedNonceMap} from './bounded-nonce-map.ts';
import {type AnswerRecord, type OnceResult, type StoredAnswer} from './types.ts';

/** `waiting`: registered and not sent yet; `unknown`: sent, and no whole answer came or was kept. */
type MintedCallState = 'waiting' | 'inFlight' | 'unknown' | 'answered';

type MintedCall = {readonly fingerprint: string; readonly state: MintedCallState};

/** Memory limits of the registry. */
export type MintedKeyLimits = {
	readonly maxKeys: number;
	/** Total bytes of answers kept for repeated requests. */
	readonly maxAnswerBytes: number;
};

export const defaultMintedKeyLimits: MintedKeyLimits = {maxKeys: 10_000, maxAnswerBytes: 4_194_304};

/** Whether a call may run, or the result to return instead. */
export type MintedKeyDecision =
	| {readonly kind: 'run'}
	| Extract<OnceResult, {kind: 'repeated' | 'inProgress' | 'unknown' | 'mismatch'}>;

/** Registry of the minted keys that one guard instance has received. */
export class MintedKeyRegistry {
	/**
	 * @example
	 * const minted = MintedKeyRegistry.create(defaultMintedKeyLimits);
	 */
	static create(limits: MintedKeyLimits): MintedKeyRegistry {
		return new MintedKeyRegistry(limits, BoundedNonceMap.create(limits.maxKeys));
	}

	private readonly answers = new Map<string, StoredAnswer>();
	private answerBytes = 0;

	private constructor(
		private readonly limits: MintedKeyLimits,
		private readonly calls: BoundedNonceMap<MintedCall>,
	) {}

	/**
	 * Registers a call and decides whether it may run.
	 *
	 * After `run` the guard must call either `cancel`, or `startSend` and `finish`.
	 */
	begin(nonce: string, fingerprint: string): MintedKeyDecision {
		if (this.calls.isForgotten(nonce)) {
			return {kind: 'unknown', reason: 'key-forgotten'};
		}

		const call = this.calls.read(nonce);
		if (call === undefined) {
			this.calls.set(nonce, {fingerprint, state: 'waiting'});
			return {kind: 'run'};
		}

		return call.fingerprint === fingerprint
			? this.createDecision(nonce, call.state)
			: {kind: 'mismatch'};
	}

	/**
	 * Marks a call as sent; call it immediately before the first byte is sent.
	 *
	 * @returns false if the call must not be sent
	 */
	startSend(nonce: string): boolean {
		return this.replaceState(nonce, 'waiting', 'inFlight');
	}

	/** Records that a call was not sent; a repeated request may run it. */
	cancel(nonce: string): void {
		this.calls.remove(nonce);
	}

	/** Records the end of a call that was sent, with its answer if there is one. */
	finish(nonce: string, record: AnswerRecord | undefined): void {
		const isAnswered = record?.kind === 'kept';
		const isKnown = this.replaceState(nonce, 'inFlight', isAnswered ? 'answered' : 'unknown');
		if (isKnown && isAnswered) {
			this.addAnswer(nonce, record.answer);
		}
	}

	/** Returns the numbers of keys and answer bytes in memory. */
	readUsage(): {readonly keys: number; readonly answerBytes: number} {
		return {keys: this.calls.count(), answerBytes: this.answerBytes};
	}

	private createDecision(nonce: string, state: MintedCallState): MintedKeyDecision {
		switch (state) {
			case 'waiting':
			case 'inFlight': {
				return {kind: 'inProgress'};
			}

			case 'unknown': {
				return {kind: 'unknown', reason: 'answer-lost'};
			}

			case 'answered': {
				const answer = this.answers.get(nonce);
				return answer === undefined
					? {kind: 'unknown', reason: 'answer-not-kept'}
					: {kind: 'repeated', answer};
			}
		}
	}

	/** Replaces the state of a call if it is `from`; returns whether it was. */
	private replaceState(nonce: string, from: MintedCallState, to: MintedCallState): boolean {
		const call = this.calls.read(nonce);
		if (call?.state !== from) {
			return false;
		}

		this.calls.set(nonce, {...call, state: to});
		return true;
	}

	/** Stores an answer and evicts the oldest ones until the limits are met. */
	private addAnswer(nonce: string, answer: StoredAnswer): void {
		this.answers.set(nonce, answer);
		this.answerBytes += answer.body.byteLength;
		for (const [oldest, dropped] of this.answers) {
			if (
				this.answerBytes <= this.limits.maxAnswerBytes &&
				this.answers.size <= this.calls.count()
			) {
				return;
			}

			this.answers.delete(oldest);
			this.answerBytes -= dropped.body.byteLength;
		}
	}
}
