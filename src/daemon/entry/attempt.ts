/**
 * One attempt of a call at one peer.
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

/** What is known once the head of an attempt has come, or can't come any more. */
export type AttemptHead = {
	readonly outcome: Outcome;
	readonly detail: string;
	readonly latencyMs: number;
	readonly report: GuardReport | undefined;
	/** Whether the server failed because a call further down was shed for overload. */
	readonly isShedBelow: boolean;
	/** Unspent part of the loan; undefined when the answer was lost. */
	readonly allowanceLeft: number | undefined;
	/** Set when the answer can be relayed. */
	readonly answer: ExchangeHead | undefined;
};

/** Sends one attempt; its answer counts only when it carries the attempt's id. */
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

	/** Whether this side ended the attempt. */
	get isCancelled(): boolean {
		return this.#isCancelled;
	}

	/** Resolves with the head; a refusal's body is dropped. */
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

	/** Ends the attempt and closes its connection. */
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
			// A loan that never left this process comes back whole.
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
