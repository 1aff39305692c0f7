/**
 * One attempt: sends a call once, to the guard of one peer.
 */
import {type OutgoingHttpHeaders} from 'node:http';
import {type Dispatcher} from '../../http/pool.ts';
import {decodeOutcome, decodeReport, encodeContext, headerNames} from '../../call/headers.ts';
import {type CallContext, type GuardReport, type Outcome} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {Exchange, type ExchangeHead} from '../http/exchange.ts';
import {discardBody} from '../http/relay.ts';
import {chooseSentBody, type RequestBody} from '../http/request-body.ts';

export type AttemptInput = {
	readonly dispatcher: Dispatcher;
	readonly member: Member;
	readonly context: CallContext;
	readonly method: string;
	readonly path: string;
	readonly headers: OutgoingHttpHeaders;
	readonly body: RequestBody;
	readonly peerKey: string;
};

/** Result of an attempt when the head of its answer has arrived, or when the attempt has failed before. */
export type AttemptHead = {
	readonly outcome: Outcome;
	readonly detail: string;
	readonly latencyMs: number;
	readonly report: GuardReport | undefined;
	/** Whether the server failed because one of its child calls was refused for overload. */
	readonly isShedBelow: boolean;
	/** Unspent part of the retry allowance lent to the attempt; undefined if the answer was lost. */
	readonly allowanceLeft: number | undefined;
	/** Set if the answer can be relayed. */
	readonly answer: ExchangeHead | undefined;
};

/** Sends one attempt; an answer is accepted only if it carries the attempt's id. */
export class Attempt {
	/**
	 * @example
	 * const attempt = Attempt.start(input);
	 * const head = await attempt.readHead();
	 */
	static start(input: AttemptInput): Attempt {
		const exchange = Exchange.start(input.dispatcher, {
			method: input.method,
			path: input.path,
			headers: {
				...input.headers,
				...encodeContext(input.context),
				[headerNames.peerKey]: input.peerKey,
			},
			body: chooseSentBody(input.body),
		});
		return new Attempt(input, exchange);
	}

	readonly #startedAtMs = readMonotonicMs();
	#isCancelled = false;

	private constructor(
		readonly input: AttemptInput,
		readonly exchange: Exchange,
	) {}

	/** Whether `cancel` was called. */
	get isCancelled(): boolean {
		return this.#isCancelled;
	}

	/** Resolves with the head; the body is discarded unless the outcome is `answered`. */
	async readHead(): Promise<AttemptHead> {
		const result = await this.exchange.head;
		const latencyMs = readMonotonicMs() - this.#startedAtMs;
		switch (result.kind) {
			case 'notSent': {
				return this.#createFailure({kind: 'notRun', reason: 'connect'}, result.detail, latencyMs);
			}

			case 'lost': {
				return this.#createFailure({kind: 'unknown', reason: 'lost'}, result.detail, latencyMs);
			}

			case 'head': {
				return this.#readAnswer(result.head, latencyMs);
			}
		}
	}

	/** Cancels the attempt and closes its connection. */
	cancel(): void {
		this.#isCancelled = true;
		this.exchange.cancel();
	}

	#createFailure(outcome: Outcome, detail: string, latencyMs: number): AttemptHead {
		const isNotRun = outcome.kind === 'notRun';
		return {
			outcome,
			detail,
			latencyMs,
			report: undefined,
			isShedBelow: false,
			// The request was never sent, so the whole loan is returned.
			allowanceLeft: isNotRun ? this.input.context.retryAllowance : undefined,
			answer: undefined,
		};
	}

	#readAnswer(answer: ExchangeHead, latencyMs: number): AttemptHead {
		const {headers, status} = answer;
		if (headers[headerNames.attempt] !== this.input.context.attemptId) {
			this.exchange.cancel();
			return this.#createFailure(
				{kind: 'unknown', reason: 'foreign answer'},
				`answer carries attempt "${String(headers[headerNames.attempt])}"`,
				latencyMs,
			);
		}

		const outcome = decodeOutcome(headers, status);
		if (outcome.kind !== 'answered') {
			discardBody(this.exchange);
		}

		return {
			outcome,
			detail: `server "${this.input.member.server}"`,
			latencyMs,
			report: decodeReport(headers),
			isShedBelow: status >= 500 && headers[headerNames.overloadedBelow] === '1',
			allowanceLeft: readAllowanceLeft(headers[headerNames.allowanceLeft]),
			answer: outcome.kind === 'answered' ? answer : undefined,
		};
	}
}

function readAllowanceLeft(value: string | string[] | undefined): number | undefined {
	return typeof value === 'string' && /^\d{1,4}$/v.test(value) ? Number(value) : undefined;
}
