/**
 * Starts the attempts of one call, settles their loans and tells the router how they ended.
 */
import {randomUUID} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {type OnceTicket} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {type RetryAllowance} from '../../retry/types.ts';
import {type AttemptResult} from '../../routing/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {type RequestBody} from '../http/request-body.ts';
import {convertToEndToEnd} from '../http/request-headers.ts';
import {type AnswerCollector} from '../once/answer-collector.ts';
import {Attempt, type AttemptHead} from './attempt.ts';
import {type CallOrigin} from './call-origin.ts';
import {type ClassifiedCall} from './classify-call.ts';
import {findOverload} from './load-outcome.ts';
import {type EntryTask} from './entry-task.ts';

export type AttemptRunnerInput = {
	readonly call: ClassifiedCall;
	readonly origin: CallOrigin;
	readonly body: RequestBody;
	readonly request: IncomingMessage;
	readonly allowance: RetryAllowance;
	readonly once?: OnceSending;
};

/** How a once call is sent. */
export type OnceSending = {
	readonly ticket: OnceTicket;
	/** The one instance on which a minted key may run. */
	readonly onlyInstanceId?: string;
	/** Copies the answer of a claimed call. */
	readonly collector?: AnswerCollector;
};

/** An attempt that has been sent. */
export type RunningAttempt = {
	readonly attempt: Attempt;
	/** Resolves once the head has come or can't come; the loan is settled by then. */
	readonly head: Promise<AttemptHead>;
};

/** The attempts of one call. */
export class AttemptRunner {
	/**
	 * @example
	 * const runner = AttemptRunner.create(entry, {call, body, request, allowance});
	 */
	static create(entry: EntryTask, input: AttemptRunnerInput): AttemptRunner {
		return new AttemptRunner(entry, input);
	}

	readonly #entry: EntryTask;
	readonly #input: AttemptRunnerInput;
	readonly #running = new Set<Attempt>();

	private constructor(entry: EntryTask, input: AttemptRunnerInput) {
		this.#entry = entry;
		this.#input = input;
	}

	/** Sends one attempt to a server. */
	start(member: Member): RunningAttempt {
		const {call, request, body, allowance, once} = this.#input;
		const attemptId = randomUUID();
		const loan = call.retryKind === 'allowance' ? allowance.lend(attemptId) : 0;
		const nowMs = readMonotonicMs();
		this.#entry.router.recordStart(member, nowMs);
		const headers = convertToEndToEnd(request.headers);
		delete headers.authorization;
		const attempt = Attempt.start({
			dispatcher: this.#entry.pools.open(member, nowMs),
			member,
			context: {
				...call.context,
				...(once === undefined ? {} : {once: once.ticket}),
				attemptId,
				deadlineMs: Math.max(1, call.deadlineAtMs - nowMs),
				retryAllowance: loan,
			},
			method: request.method ?? 'GET',
			path: call.path,
			headers,
			body,
			peerKey: this.#entry.peerKey,
		});
		this.#running.add(attempt);
		return {attempt, head: this.#waitForHead(attempt)};
	}

	/** Cancels every attempt that has no head yet. */
	cancel(): void {
		for (const attempt of this.#running) {
			attempt.cancel();
		}
	}

	async #waitForHead(attempt: Attempt): Promise<AttemptHead> {
		const head = await attempt.readHead();
		this.#running.delete(attempt);
		if (this.#input.call.retryKind === 'allowance') {
			this.#settleLoan(attempt.input.context.attemptId, head.allowanceLeft);
		}

		this.#recordResult(attempt, head);
		return this.#settleLost(attempt, head);
	}

	/** Asks the guard about a lost once call; only its word proves that nothing was and will be sent. */
	async #settleLost(attempt: Attempt, head: AttemptHead): Promise<AttemptHead> {
		const {once} = this.#input;
		const isClaimed = once !== undefined && once.onlyInstanceId === undefined;
		if (!isClaimed || head.outcome.kind !== 'unknown') {
			return head;
		}

		const verdict = await this.#entry.askGuard(attempt.input.member, once.ticket.nonce);
		if (verdict !== 'neverSent') {
			return head;
		}

		const reason = attempt.isCancelled ? 'cancelled' : 'connect';
		return {...head, outcome: {kind: 'notRun', reason}};
	}

	/** Takes a loan back, or counts it as spent when the answer was lost. */
	#settleLoan(attemptId: string, left: number | undefined): void {
		if (left === undefined) {
			this.#input.allowance.forfeitLoan(attemptId);
		} else {
			this.#input.allowance.returnLoan(attemptId, left);
		}
	}

	#recordResult(attempt: Attempt, head: AttemptHead): void {
		this.#entry.router.recordResult(
			{
				member: attempt.input.member,
				callName: this.#input.call.context.callName,
				kind: attempt.isCancelled || head.isShedBelow ? 'cancelled' : classifyResult(head),
				latencyMs: head.latencyMs,
				bytes: readContentLength(head),
				...(head.report === undefined ? {} : {report: head.report}),
			},
			readMonotonicMs(),
		);
	}
}

function classifyResult(head: AttemptHead): AttemptResult['kind'] {
	// A server is not at fault for an overload of the servers that it calls.
	if (findOverload(head) !== 'none') {
		return 'refused';
	}

	switch (head.outcome.kind) {
		case 'answered': {
			return head.outcome.status >= 500 ? 'failed' : 'answered';
		}

		case 'notRun': {
			return head.outcome.reason === 'connect' ? 'unreachable' : 'refused';
		}

		case 'unknown':
		case 'failed': {
			return 'failed';
		}
	}
}

function readContentLength(head: AttemptHead): number {
	const length = Number(head.answer?.headers['content-length'] ?? 0);
	return Number.isSafeInteger(length) ? length : 0;
}
