/** Interface between an entry and a guard, over a link or within one process. */
import {type AnswerHead, type FailureHead, type RefusalHead} from './messages.ts';

/**
 * Events of one request at a guard. Exactly one of these is the last: a whole answer, the end of a
 * longer one, a refusal or a failure.
 */
export type ExchangeListener = {
	/** The head of an answer; unless `isWhole` is set, data and an end follow. */
	handleAnswer(head: AnswerHead, body: Uint8Array): void;
	handleData(chunk: Uint8Array): void;
	handleEnd(): void;
	/** The request was not run and never will be. */
	handleRefusal(head: RefusalHead): void;
	/** The request may have run. */
	handleFailure(head: FailureHead): void;
	/** The server's connection has taken so many bytes of a streamed body, in total. */
	handleTaken(totalBytes: number): void;
};

/** Control of a request that was sent to a guard. */
export type Exchange = {
	/** Notifies the guard that the answer is no longer needed. */
	cancel(): void;
	/** Sends a further part of the request's body; `handleTaken` tells when the server has taken it. */
	sendBody(chunk: Uint8Array): void;
	endBody(): void;
	/** Pauses or resumes receiving the answer's body. */
	setPaused(isPaused: boolean): void;
};

const noOperation = () => {
	// The request has ended.
};

/** Null object for a request that has ended. */
export const endedExchange: Exchange = {
	cancel: noOperation,
	sendBody: noOperation,
	endBody: noOperation,
	setPaused: noOperation,
};
