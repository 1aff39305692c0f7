/** The answer to one caller: it is given once, and what comes later is dropped. */
import type http from 'node:http';
import {type AnswerHead} from '../link/messages.ts';
import {
	writeLocalAnswer,
	computeRetryAfterMs,
	type LocalStatus,
	localStatuses,
	relayAnswer,
	relayHead,
} from './caller-answer.ts';

/** Status of a record when the caller got no whole answer. */
const noAnswerStatus = 0;

export type ReplyOptions = {
	readonly response: http.ServerResponse;
	/** Whether the caller's whole body was read; otherwise its connection can't be used again. */
	readonly isBodyRead: boolean;
	/** Whether callers are asked to open their next connection elsewhere. */
	isStopping(): boolean;
	random(): number;
	/** The answer is given, or nobody waits for it any more; called once. */
	handleDone(status: number, outcome: string): void;
};

export class CallerReply {
	/**
	 * @example
	 * const reply = CallerReply.create(options);
	 * reply.refuse('no server has room');
	 */
	static create(options: ReplyOptions): CallerReply {
		return new CallerReply(options);
	}

	#isDone = false;

	private constructor(private readonly options: ReplyOptions) {}

	get isDone(): boolean {
		return this.#isDone;
	}

	/** Whether the head of a long answer has gone out; nothing else can be said then. */
	get hasBegun(): boolean {
		return this.options.response.headersSent;
	}

	/** Answers that the request was not run, and when to come back. */
	refuse(reason: string, retryAfterMs = computeRetryAfterMs(this.options.random())): void {
		this.answer(localStatuses.notRun, reason, retryAfterMs);
	}

	/** Gives an answer that no server gave. */
	answer(status: LocalStatus, reason: string, retryAfterMs?: number): void {
		const {response, isBodyRead} = this.options;
		if (this.#isDone) {
			return;
		}

		if (response.headersSent) {
			response.destroy();
		} else {
			const closes = this.options.isStopping() || !isBodyRead;
			const retry = retryAfterMs === undefined ? {} : {retryAfterMs};
			writeLocalAnswer(response, status, {reason, closes, ...retry});
		}

		this.#finish(status, reason);
	}

	/** Hands over a server's whole answer. */
	relay(head: AnswerHead, body: Uint8Array): void {
		if (!this.#isDone) {
			relayAnswer(this.options.response, head, body, this.options.isStopping());
			this.#finish(head.status, 'relayed');
		}
	}

	/** Hands over the head and the first part of a long answer. */
	relayHead(head: AnswerHead, body: Uint8Array, onDrain: () => void): void {
		const {response} = this.options;
		relayHead(response, head);
		response.on('drain', onDrain);
		response.write(body);
	}

	/** Hands over a further part; false asks for a pause until the drain. */
	relayChunk(chunk: Uint8Array): boolean {
		return this.options.response.write(chunk);
	}

	end(): void {
		const {response} = this.options;
		response.end();
		this.#finish(response.statusCode, 'relayed');
	}

	/** Ends a long answer so that it can't be taken for a whole one. */
	abort(): void {
		this.options.response.destroy();
		this.#finish(noAnswerStatus, 'cut short');
	}

	/** Records that the caller left before the answer. */
	abandon(): void {
		this.#finish(noAnswerStatus, 'the caller left');
	}

	#finish(status: number, outcome: string): void {
		if (!this.#isDone) {
			this.#isDone = true;
			this.options.handleDone(status, outcome);
		}
	}
}
