/** One request in the guard, from its arrival to its answer. */
import {Buffer} from 'node:buffer';
import {type Exchange, type ExchangeListener} from '../link/exchange.ts';
import {type AnswerHead, type CallHead, type RefusalReason} from '../link/messages.ts';
import {type ServerAnswerHead} from '../types.ts';
import {AnswerBuffer} from './answer-buffer.ts';
import {type CallConnection, type CallOutcome, type CallOwner} from './call-owner.ts';
import {RequestBody} from './request-body.ts';

/** Answers up to this size are buffered and sent as one frame; larger ones are streamed. */
const maxBufferedBytes = 64 * 1024;

/** Share of the remaining time that a request may wait; the rest is for its execution on the server. */
const maxWaitShare = 0.35;
/**
 * The same share for nested calls, which a server makes for a request that was admitted before. They may
 * wait longer, because a refusal wastes the work already done for the parent request.
 */
const maxNestedWaitShare = 0.75;
/** Nested calls precede requests of callers of any priority. */
const nestedPriority = -1;

type Phase = 'waiting' | 'running' | 'ended';

export class GuardedCall implements Exchange {
	/**
	 * @param body - the whole body, or the part of it that has arrived
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
	readonly deadlineAtMs: number;
	readonly priority: number;
	/** Longest wait for a slot. The request is refused after it, while another server can still be tried. */
	readonly maxWaitMs: number;
	/** When the call ended, on the monotonic clock. */
	endedAtMs: number | undefined;

	readonly #suspendedBeforeMs: number;
	#phase: Phase = 'waiting';
	#listener: ExchangeListener;
	#connection: CallConnection | undefined;
	#startedAtMs = 0;
	#answer: ServerAnswerHead | undefined;
	readonly #answerBody = AnswerBuffer.create();
	#isStreaming = false;
	readonly #body: RequestBody;
	/** Delivers the outcome again to a listener that is attached after the end; not set after streaming. */
	#replayEnd: ((listener: ExchangeListener) => void) | undefined;

	private constructor(
		readonly head: CallHead,
		body: Uint8Array,
		listener: ExchangeListener,
		private readonly owner: CallOwner,
	) {
		this.#listener = listener;
		this.#suspendedBeforeMs = owner.readSuspended();
		this.#body = RequestBody.create(body, head.isWhole);
		this.deadlineAtMs = this.arrivedAtMs + head.remainingMs;
		this.maxWaitMs = head.remainingMs * (head.isNested ? maxNestedWaitShare : maxWaitShare);
		this.priority = head.isNested ? nestedPriority : head.priority;
	}

	get phase(): Phase {
		return this.#phase;
	}

	/** Whether no further part of the request's body is to come. */
	get isBodyWhole(): boolean {
		return this.#body.isWhole;
	}

	/** Whether part of the answer has been sent, so that no other listener can receive it whole. */
	get isStreaming(): boolean {
		return this.#isStreaming;
	}

	/** The listener that currently receives the events of this call. */
	get listener(): ExchangeListener {
		return this.#listener;
	}

	/** Returns the time left until the deadline; suspensions of the process count. */
	computeRemainingMs(nowMs: number): number {
		return this.deadlineAtMs - nowMs - (this.owner.readSuspended() - this.#suspendedBeforeMs);
	}

	/** Sends the request to the server, which may run it from this point on. */
	start(serverId: string, nowMs: number): void {
		const {head} = this;
		this.#phase = 'running';
		this.#startedAtMs = nowMs;
		this.#connection = this.owner.acquireConnection(head.requestId, head.isOnce);
		const bytes = this.owner.codec.encodeServerRequest({
			...head,
			serverId,
			remainingMs: this.computeRemainingMs(nowMs),
			bodyBytes: this.#body.wholeBytes,
		});
		const {requestId, method} = head;
		const {isWhole} = this.#body;
		const parts = this.#body.removeWaiting();
		const body = isWhole ? parts[0]! : Buffer.alloc(0);
		this.#connection.send(
			{requestId, method, head: bytes, body, isWhole},
			this.#createConnectionListener(),
		);
		for (const part of isWhole ? [] : parts) {
			this.#sendPart(part);
		}
	}

	/** Ends a call that has not been sent; the refusal proves to the listener that it has not run. */
	refuse(reason: RefusalReason): void {
		this.#end({kind: 'refused', reason}, listener => {
			listener.handleRefusal({reason, member: undefined});
		});
	}

	cancel(): void {
		if (this.#phase === 'ended') {
			return;
		}

		const mayHaveRun = this.#phase === 'running';
		this.#connection?.close();
		const ranMs = mayHaveRun ? performance.now() - this.#startedAtMs : 0;
		this.#end({kind: 'cancelled', mayHaveRun, ranMs}, listener => {
			if (mayHaveRun) {
				listener.handleFailure({reason: 'cancelled'});
			} else {
				listener.handleRefusal({reason: 'forgotten', member: undefined});
			}
		});
	}

	/** @throws {RangeError} when the sender is too far ahead of the server */
	sendBody(chunk: Uint8Array): void {
		const isRunning = this.#phase === 'running';
		if (this.#phase !== 'ended') {
			this.#body.add(chunk, isRunning);
		}

		if (isRunning) {
			this.#sendPart(chunk);
		}
	}

	endBody(): void {
		if (this.#phase === 'running' && !this.#body.isWhole) {
			this.#connection!.sendLastChunk();
		}

		this.#body.end();
	}

	setPaused(isPaused: boolean): void {
		if (this.#phase === 'running') {
			this.#connection?.setPaused(isPaused);
		}
	}

	/** Replaces the listener after its link was lost, and delivers the outcome if the call has ended. */
	attach(listener: ExchangeListener): void {
		this.#listener = listener;
		this.#replayEnd?.(listener);
	}

	#sendPart(part: Uint8Array): void {
		this.#connection!.sendChunk(part, () => {
			const totalBytes = this.#body.recordTaken(part.length);
			if (this.#phase === 'running') {
				this.#listener.handleTaken(totalBytes);
			}
		});
	}

	#createConnectionListener() {
		return {
			handleHead: (head: ServerAnswerHead) => {
				this.#answer = head;
				this.owner.handleHead(head, {
					serverId: this.head.serverId,
					sentAtMs: this.#startedAtMs,
				});
			},
			handleData: (chunk: Uint8Array) => {
				this.#handleChunk(chunk);
			},
			handleEnd: () => {
				this.#finishAnswer();
			},
			handleFailure: (reason: string, hasSent: boolean) => {
				this.#fail(reason, hasSent);
			},
		};
	}

	#handleChunk(chunk: Uint8Array): void {
		if (this.#isStreaming) {
			this.#listener.handleData(chunk);
			return;
		}

		this.#answerBody.add(chunk);
		if (this.#answerBody.length > maxBufferedBytes) {
			this.#isStreaming = true;
			this.#listener.handleAnswer(this.#createAnswerHead(false), this.#answerBody.removeAll());
		}
	}

	#createAnswerHead(isWhole: boolean): AnswerHead {
		const {status, headers, isNotRun, isLeaving} = this.#answer!;
		return {status, headers, isNotRun, isLeaving, isWhole};
	}

	#finishAnswer(): void {
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

		const head = this.#createAnswerHead(true);
		const body = this.#answerBody.removeAll();
		this.#end(outcome, listener => {
			listener.handleAnswer(head, body);
		});
	}

	#fail(reason: string, hasSent: boolean): void {
		if (hasSent) {
			void this.#failSent(reason);
			return;
		}

		this.#end({kind: 'failed', reason, hasSent}, listener => {
			listener.handleRefusal({reason: 'unreachable', member: undefined});
		});
	}

	async #failSent(reason: string): Promise<void> {
		const serverEnd = await this.owner.checkEnded(this.head.digest);
		this.#end({kind: 'failed', reason, hasSent: true, serverEnd}, listener => {
			listener.handleFailure({reason, serverEnd});
		});
	}

	#end(outcome: CallOutcome, notify: (listener: ExchangeListener) => void): void {
		if (this.#phase === 'ended') {
			return;
		}

		this.#phase = 'ended';
		this.#connection = undefined;
		this.#replayEnd = this.#isStreaming ? undefined : notify;
		this.endedAtMs = performance.now();
		this.owner.handleEnded(this, outcome);
		notify(this.#listener);
	}
}
