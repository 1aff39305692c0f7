/** One request at a guard, from its arrival to its answer. */
import {Buffer} from 'node:buffer';
import {type Exchange, type ExchangeListener} from '../link/exchange.ts';
import {type AnswerHead, type CallHead, type RefusalReason} from '../link/messages.ts';
import {type HeadCodec, type ServerAnswerHead} from '../types.ts';
import {type ServerConnection} from './server-connection.ts';

/** Answers up to this size are collected and sent as one frame; longer ones stream. */
const maxCollectedBytes = 64 * 1024;

/** Part of the time left that a request may spend waiting; the rest is for the server's work. */
const maxWaitShare = 0.35;
/** Calls of work that was admitted wait longer: refusing one wastes all that was done for its parent. */
const maxInnerWaitShare = 0.75;
/** Calls of work that was admitted go before callers' requests of any rank. */
const innerPriority = -1;

/** What a call uses of its connection to the server. */
export type CallConnection = Pick<
	ServerConnection,
	'send' | 'sendChunk' | 'sendLastChunk' | 'setPaused' | 'close'
>;

/** What a call asks of its guard. */
export type CallOwner = {
	readonly codec: HeadCodec;
	/** Opens or reuses a connection to the server. */
	acquireConnection(requestId: string, isOnce: boolean): CallConnection;
	handleEnded(call: GuardedCall, outcome: CallOutcome): void;
};

/** How a call ended; `ranMs` is the time at the server. */
export type CallOutcome =
	| {readonly kind: 'answered'; readonly head: ServerAnswerHead; readonly ranMs: number}
	| {readonly kind: 'refused'; readonly reason: RefusalReason}
	| {readonly kind: 'failed'; readonly reason: string; readonly hasSent: boolean}
	| {readonly kind: 'cancelled'; readonly hasRun: boolean; readonly ranMs: number};

type Phase = 'waiting' | 'running' | 'ended';

export class GuardedCall implements Exchange {
	/**
	 * @param body - the whole body, or the part of it that has come
	 * @example
	 * const call = GuardedCall.create(head, body, listener, owner);
	 */
	static create(
		head: CallHead,
		body: Uint8Array,
		listener: ExchangeListener,
		owner: CallOwner,
	): GuardedCall {
		return new GuardedCall(head, body, listener, owner);
	}

	readonly arrivedAtMs = performance.now();
	readonly answerByMs: number;
	readonly priority: number;
	/** Longest wait for a slot; after it the request is refused while its caller can still go elsewhere. */
	readonly maxWaitMs: number;
	/** When the call ended, on the steady clock. */
	endedAtMs: number | undefined;

	#phase: Phase = 'waiting';
	#listener: ExchangeListener;
	#connection: CallConnection | undefined;
	#startedAtMs = 0;
	#answer: ServerAnswerHead | undefined;
	#chunks: Uint8Array[] = [];
	#collectedBytes = 0;
	#isStreaming = false;
	#isBodyWhole: boolean;
	/** Delivers the end once more, to a listener that asks after its connection was lost. */
	#repeatEnd: ((listener: ExchangeListener) => void) | undefined;

	private constructor(
		readonly head: CallHead,
		private body: Uint8Array,
		listener: ExchangeListener,
		private readonly owner: CallOwner,
	) {
		this.#listener = listener;
		this.#isBodyWhole = head.isWhole;
		this.answerByMs = this.arrivedAtMs + head.remainingMs;
		this.maxWaitMs = head.remainingMs * (head.isInner ? maxInnerWaitShare : maxWaitShare);
		this.priority = head.isInner ? innerPriority : head.priority;
	}

	get phase(): Phase {
		return this.#phase;
	}

	/** Whether an answer of this call can still be told to a listener that comes later. */
	get isStreaming(): boolean {
		return this.#isStreaming;
	}

	/** Who hears of this call at present. */
	get listener(): ExchangeListener {
		return this.#listener;
	}

	/** Sends the request to the server; from here on it may run. */
	start(serverId: string, nowMs: number): void {
		const {head} = this;
		this.#phase = 'running';
		this.#startedAtMs = nowMs;
		this.#connection = this.owner.acquireConnection(head.requestId, head.isOnce);
		const bytes = this.owner.codec.encodeServerRequest({
			...head,
			serverId,
			remainingMs: this.answerByMs - nowMs,
			bodyBytes: this.#isBodyWhole ? this.body.length : undefined,
		});
		const {requestId, method} = head;
		const isWhole = this.#isBodyWhole;
		const body = isWhole ? this.body : Buffer.alloc(0);
		this.#connection.send({requestId, method, head: bytes, body, isWhole}, this.#createListener());
		if (!isWhole && this.body.length > 0) {
			this.#connection.sendChunk(this.body);
		}

		this.body = Buffer.alloc(0);
	}

	/** Ends the call without sending it; the proof that it has not run. */
	refuse(reason: RefusalReason): void {
		this.#end({kind: 'refused', reason}, listener => {
			listener.handleRefusal({reason, member: undefined});
		});
	}

	cancel(): void {
		if (this.#phase === 'ended') {
			return;
		}

		const hasRun = this.#phase === 'running';
		this.#connection?.close();
		const ranMs = hasRun ? performance.now() - this.#startedAtMs : 0;
		this.#end({kind: 'cancelled', hasRun, ranMs}, listener => {
			if (hasRun) {
				listener.handleFailure({reason: 'cancelled'});
			} else {
				listener.handleRefusal({reason: 'forgotten', member: undefined});
			}
		});
	}

	sendBody(chunk: Uint8Array): boolean {
		if (this.#phase === 'running') {
			return this.#connection!.sendChunk(chunk);
		}

		this.body = Buffer.concat([this.body, chunk]);
		return true;
	}

	endBody(): void {
		if (this.#phase === 'running' && !this.#isBodyWhole) {
			this.#connection!.sendLastChunk();
		}

		this.#isBodyWhole = true;
	}

	setPaused(isPaused: boolean): void {
		if (this.#phase === 'running') {
			this.#connection?.setPaused(isPaused);
		}
	}

	/** Lets another listener hear the rest, after the connection of the first was lost. */
	attach(listener: ExchangeListener): void {
		this.#listener = listener;
		this.#repeatEnd?.(listener);
	}

	#createListener() {
		return {
			handleHead: (head: ServerAnswerHead) => {
				this.#answer = head;
			},
			handleData: (chunk: Uint8Array) => {
				this.#collect(chunk);
			},
			handleEnd: () => {
				this.#answerWhole();
			},
			handleFailure: (reason: string, hasSent: boolean) => {
				this.#fail(reason, hasSent);
			},
		};
	}

	#collect(chunk: Uint8Array): void {
		if (this.#isStreaming) {
			this.#listener.handleData(chunk);
			return;
		}

		this.#chunks.push(chunk);
		this.#collectedBytes += chunk.length;
		if (this.#collectedBytes > maxCollectedBytes) {
			this.#isStreaming = true;
			this.#listener.handleAnswer(this.#createAnswer(false), this.#takeBody());
		}
	}

	#takeBody(): Uint8Array {
		const chunks = this.#chunks;
		this.#chunks = [];
		return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
	}

	#createAnswer(isWhole: boolean): AnswerHead {
		const {status, headers, isNotRun} = this.#answer!;
		return {status, headers, isNotRun, isWhole};
	}

	#answerWhole(): void {
		const answer = this.#answer!;
		const outcome: CallOutcome = {
			kind: 'answered',
			head: answer,
			ranMs: performance.now() - this.#startedAtMs,
		};
		if (this.#isStreaming) {
			this.#end(outcome, listener => {
				listener.handleEnd();
			});
			return;
		}

		const head = this.#createAnswer(true);
		const body = this.#takeBody();
		this.#end(outcome, listener => {
			listener.handleAnswer(head, body);
		});
	}

	#fail(reason: string, hasSent: boolean): void {
		this.#end({kind: 'failed', reason, hasSent}, listener => {
			if (hasSent) {
				listener.handleFailure({reason});
			} else {
				listener.handleRefusal({reason: 'unreachable', member: undefined});
			}
		});
	}

	#end(outcome: CallOutcome, tell: (listener: ExchangeListener) => void): void {
		if (this.#phase === 'ended') {
			return;
		}

		this.#phase = 'ended';
		this.#connection = undefined;
		this.#repeatEnd = this.#isStreaming ? undefined : tell;
		this.endedAtMs = performance.now();
		this.owner.handleEnded(this, outcome);
		tell(this.#listener);
	}
}
