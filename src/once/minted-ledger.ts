/**
 * The guard's memory of the minted keys that run on it.
 *
 * It is bounded: a key that was forgotten is answered with `unknown` and never runs.
 */
import {RecentMap} from './recent-map.ts';
import {type AnswerRecord, type OnceResult, type StoredAnswer} from './types.ts';

type MintedState = 'waiting' | 'inFlight' | 'unknown' | 'answered';

type MintedCall = {readonly fingerprint: string; readonly state: MintedState};

export type MintedLimits = {
	readonly maxKeys: number;
	/** Bytes of answers that are kept for repeats. */
	readonly maxAnswerBytes: number;
};

export const defaultMintedLimits: MintedLimits = {maxKeys: 10_000, maxAnswerBytes: 4_194_304};

/** Whether a call may run, or what to answer instead. */
export type MintedVerdict =
	| {readonly kind: 'run'}
	| Extract<OnceResult, {kind: 'repeated' | 'inProgress' | 'unknown' | 'mismatch'}>;

/** Minted keys that have come to one guard instance. */
export class MintedLedger {
	/**
	 * @example
	 * const minted = MintedLedger.create(defaultMintedLimits);
	 */
	static create(limits: MintedLimits): MintedLedger {
		return new MintedLedger(limits, RecentMap.create(limits.maxKeys));
	}

	private readonly answers = new Map<string, StoredAnswer>();
	private answerBytes = 0;

	private constructor(
		private readonly limits: MintedLimits,
		private readonly calls: RecentMap<MintedCall>,
	) {}

	/** Takes a call in; `run` obliges the guard to `cancel` or to `startSend` and `finish` it. */
	begin(nonce: string, fingerprint: string): MintedVerdict {
		if (this.calls.isForgotten(nonce)) {
			return {kind: 'unknown', reason: 'key-forgotten'};
		}

		const call = this.calls.read(nonce);
		if (call === undefined) {
			this.calls.set(nonce, {fingerprint, state: 'waiting'});
			return {kind: 'run'};
		}

		return call.fingerprint === fingerprint
			? this.readVerdict(nonce, call.state)
			: {kind: 'mismatch'};
	}

	/** Claims the right to send, right before the first byte goes out. */
	startSend(nonce: string): boolean {
		return this.replaceState(nonce, 'waiting', 'inFlight');
	}

	/** Records that a call was not sent; a repeat may run it. */
	cancel(nonce: string): void {
		this.calls.remove(nonce);
	}

	/** Records how a call ended that was sent. */
	finish(nonce: string, record: AnswerRecord | undefined): void {
		const isAnswered = record?.kind === 'kept';
		const isKnown = this.replaceState(nonce, 'inFlight', isAnswered ? 'answered' : 'unknown');
		if (isKnown && isAnswered) {
			this.addAnswer(nonce, record.answer);
		}
	}

	/** Keys and answer bytes in memory. */
	readUsage(): {readonly keys: number; readonly answerBytes: number} {
		return {keys: this.calls.count(), answerBytes: this.answerBytes};
	}

	private readVerdict(nonce: string, state: MintedState): MintedVerdict {
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

	private replaceState(nonce: string, from: MintedState, to: MintedState): boolean {
		const call = this.calls.read(nonce);
		if (call?.state !== from) {
			return false;
		}

		this.calls.set(nonce, {...call, state: to});
		return true;
	}

	/** Keeps an answer and drops the oldest ones that no longer fit. */
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
