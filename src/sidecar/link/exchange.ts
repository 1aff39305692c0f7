/** How an entry talks to a guard, whether over a link or within the same process. */
import {type AnswerHead, type FailureHead, type RefusalHead} from './messages.ts';

/** What a guard tells of one request; exactly one of the last four ends it. */
export type ExchangeListener = {
	/** The head of an answer; data and an end follow unless it is whole. */
	handleAnswer(head: AnswerHead, body: Uint8Array): void;
	handleData(chunk: Uint8Array): void;
	handleEnd(): void;
	/** The request was not run and never will be. */
	handleRefusal(head: RefusalHead): void;
	/** The request may have run. */
	handleFailure(head: FailureHead): void;
};

/** What the entry may do with a request that it has sent. */
export type Exchange = {
	/** Tells the guard that nobody waits any more. */
	cancel(): void;
	/** Sends a part of a body; false asks for a pause until `onDrain`. */
	sendBody(chunk: Uint8Array): boolean;
	endBody(): void;
	/** Stops and starts the flow of a long answer. */
	setPaused(isPaused: boolean): void;
};

const noOperation = () => {
	// Nothing is under way any more.
};

/** Stands for a request that has ended. */
export const endedExchange: Exchange = {
	cancel: noOperation,
	sendBody: () => true,
	endBody: noOperation,
	setPaused: noOperation,
};
