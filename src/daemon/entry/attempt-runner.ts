/**
 * Starts the attempts of one call, settles their retry allowance loans and reports their results to the router.
 */
import {randomUUID} from 'node:crypto';
import {type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type ClaimReference} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {type RetryAllowance} from '../../retry/types.ts';
import {type AttemptResult} from '../../routing/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {type RequestBody} from '../http/request-body.ts';
import {copyEndToEndHeaders} from '../http/request-headers.ts';
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
	readonly once?: OnceCallOptions;
};

/** Options of the attempts of a once call. */
export type OnceCallOptions = {
	readonly claimReference: ClaimReference;
	/** Set for a minted key: the only instance that may run the call. */
	readonly onlyInstanceId?: string;
	/** Copies the answer of a claimed call, to be stored for repeats. */
	readonly collector?: AnswerCollector;
};

/** An attempt that has been sent. */
export type RunningAttempt = {
	readonly attempt: Attempt;
	/** Resolves when the head has arrived or the attempt has failed; the loan has been settled by then. */
	readonly head: Promise<AttemptHead>;
};

/** Runs the attempts of one call. */
export class AttemptRunner {
	/**
	 * @example
	 * const runner = AttemptRunner.create(entry, {call, origin, body, request, allowance});
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

	/** Starts an attempt at a server and records it with the router. */
	start(member: Member): RunningAttempt {
		const {call, request, body, allowance, once} = this.#input;
		const attemptId = randomUUID();
		const loan = call.retryKind === 'allowance' ? allowance.lend(attemptId) : 0;
		const nowMs = readMonotonicMs();
		this.#entry.router.recordStart(member, nowMs);
		const headers = copyEndToEndHeaders(request.headers);
		delete headers.authorization;
		const attempt = Attempt.start({
			dispatcher: this.#entry.pools.getPool(member, nowMs),
			member,
			context: {
				...call.context,
				...(once === undefined ? {} : {once: once.claimReference}),
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

	/** Cancels all attempts whose head has not arrived. */
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
		return this.#resolveLostOnceAttempt(attempt, head);
	}

	/**
	 * Kills the nonce of a claimed once call whose outcome is unknown. `notRun` is certain only if the guard
	 * replies `neverSent`: it has not sent the call and won't send it later.
	 */
	async #resolveLostOnceAttempt(attempt: Attempt, head: AttemptHead): Promise<AttemptHead> {
		const {once} = this.#input;
		const isClaimed = once !== undefined && once.onlyInstanceId === undefined;
		if (!isClaimed || head.outcome.kind !== 'unknown') {
			return head;
		}

		const verdict = await this.#entry.killNonceAtGuard(
			attempt.input.member,
			once.claimReference.nonce,
		);
		if (verdict !== 'neverSent') {
			return head;
		}

		const reason = attempt.isCancelled ? 'cancelled' : 'connect';
		return {...head, outcome: {kind: 'notRun', reason}};
	}

	/** Returns the unspent part of a loan to the allowance; a loan whose answer was lost counts as spent. */
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
				bytes: readBodyLength(this.#input.request) + readContentLength(head.answer?.headers),
				...(head.report === undefined ? {} : {report: head.report}),
			},
			readMonotonicMs(),
		);
	}
}

function classifyResult(head: AttemptHead): AttemptResult['kind'] {
	// A refusal for overload, also one of a child call, must not count as a failure of the server.
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

/**
 * Reads the length of a request's body from its `content-length` header.
 *
 * @returns bytes; 0 if the length is unknown
 * @example
 * const bytes = readBodyLength(request);
 */
export function readBodyLength(request: IncomingMessage): number {
	return readContentLength(request.headers);
}

function readContentLength(headers: IncomingHttpHeaders | undefined): number {
	const length = Number(headers?.['content-length'] ?? 0);
	return Number.isSafeInteger(length) ? length : 0;
}
