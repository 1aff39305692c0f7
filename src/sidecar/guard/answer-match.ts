/**
 * Decides whether an answer belongs to the request that waits on its connection (correlation identifier).
 *
 * An answer with an id belongs to the request with this id. One without an id is believed only if it denies the run of a
 * request that bears none, and its connection has carried no other: else it may be an earlier answer once more.
 */
import {type ServerAnswerHead} from '../types.ts';

export type PendingAnswer = {
	readonly requestId: string;
	/** Whether the connection has carried no other request, and no answer yet. */
	readonly isFirst: boolean;
};

export type AnswerMatch =
	| 'matched'
	/** Belongs to another request, or to none; the answer that is waited for may follow. */
	| 'foreign'
	/** Bears a status that promises that the request has not run, without the server's statement that it has not. */
	| 'unproved';

/** Statuses by which callers understand that the request was not run. */
const promisingStatuses = new Set([408, 429, 503]);

/**
 * @example
 * matchAnswer(head, {requestId: '9c41d07b', isFirst: false});
 */
export function matchAnswer(
	{requestId, isNotRun, status}: Pick<ServerAnswerHead, 'requestId' | 'isNotRun' | 'status'>,
	pending: PendingAnswer,
): AnswerMatch {
	if (requestId === undefined) {
		return isNotRun && pending.requestId === '' && pending.isFirst ? 'matched' : 'foreign';
	}

	if (requestId !== pending.requestId) {
		return 'foreign';
	}

	return isNotRun || !promisingStatuses.has(status) ? 'matched' : 'unproved';
}

/** Refused requests whose ids are kept for one connection, which isn't used for more. */
const maxRefusedIds = 64;

/** Matches the answers on one connection to the requests that it has carried. */
export class AnswerMatcher {
	/**
	 * @example
	 * const matcher = AnswerMatcher.create();
	 * matcher.begin('9c41d07b');
	 * matcher.match(head); // 'matched'
	 */
	static create(): AnswerMatcher {
		return new AnswerMatcher();
	}

	#requestId: string | undefined;
	/** Whether the connection has carried no request before, and no answer yet. */
	#isFirst = false;
	/** Ids of the requests that the server refused here: they may be sent to it again. */
	readonly #refusedIds = new Set<string>();

	private constructor() {
		// Instances are created with `create`.
	}

	/** Whether no further request may be sent on the connection. */
	get isFull(): boolean {
		return this.#refusedIds.size >= maxRefusedIds;
	}

	/** Begins to wait for the answer to a request. */
	begin(requestId: string): void {
		this.#isFirst = this.#requestId === undefined;
		this.#requestId = requestId;
	}

	match(head: Pick<ServerAnswerHead, 'requestId' | 'isNotRun' | 'status'>): AnswerMatch {
		const requestId = this.#requestId ?? '';
		const result = matchAnswer(head, {requestId, isFirst: this.#isFirst});
		this.#isFirst = false;
		if (result === 'matched' && head.isNotRun) {
			this.#refusedIds.add(requestId);
		}

		return result;
	}

	/** Whether an answer to an earlier send of a request may still arrive on the connection. */
	hasCarried(requestId: string): boolean {
		return this.#requestId === requestId || this.#refusedIds.has(requestId);
	}
}
