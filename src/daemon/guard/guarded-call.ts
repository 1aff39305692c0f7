/**
 * Admits one call from a peer, sends it to the local backend server and relays the answer.
 */
import {type IncomingMessage, type OutgoingHttpHeaders, type ServerResponse} from 'node:http';
import {type SlotResult} from '../../admission/types.ts';
import {headerNames} from '../../call/headers.ts';
import {type CallContext, type NotRunReason, type Outcome} from '../../call/types.ts';
import {CallAllowance} from '../../retry/allowance.ts';
import {type RetryAllowance} from '../../retry/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {Exchange, type BodyEnd, type ExchangeHead} from '../http/exchange.ts';
import {sendProblem, chooseProblemStatus} from '../http/problem.ts';
import {relayBody} from '../http/relay.ts';
import {chooseSentBody, readRequestBody, type RequestBody} from '../http/request-body.ts';
import {copyEndToEndHeaders} from '../http/request-headers.ts';
import {type GuardOnceCall} from '../once/guard-once-calls.ts';
import {answerUnexecutedCall} from '../once/once-answers.ts';
import {type GuardTask} from './guard-task.ts';
import {RunningCall} from './running-calls.ts';

type UnansweredOutcome = Exclude<Outcome, {kind: 'answered'}>;

const maxBodyBytes = 1_073_741_824;

/** One call from a peer, from its arrival to the last byte of its answer. */
export class GuardedCall {
	/**
	 * @example
	 * await GuardedCall.create(guard, context, request, response).run();
	 */
	static create(
		guard: GuardTask,
		context: CallContext,
		request: IncomingMessage,
		response: ServerResponse,
	): GuardedCall {
		return new GuardedCall(guard, context, request, response);
	}

	readonly #guard: GuardTask;
	readonly #context: CallContext;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #allowance: RetryAllowance;
	readonly #deadlineAtMs: number;
	readonly #onceCall: GuardOnceCall | undefined;
	#exchange: Exchange | undefined;
	#running: RunningCall | undefined;
	#ended: 'no' | 'deadline' | 'cancelled' = 'no';

	private constructor(
		guard: GuardTask,
		context: CallContext,
		request: IncomingMessage,
		response: ServerResponse,
	) {
		this.#guard = guard;
		this.#context = context;
		this.#request = request;
		this.#response = response;
		this.#allowance = CallAllowance.create(context.retryAllowance);
		this.#onceCall = guard.onceCalls.createCall(context);
		this.#deadlineAtMs = readMonotonicMs() + context.deadlineMs;
	}

	/** Runs the call. Resolves once its answer has ended; a failure of the call doesn't reject. */
	async run(): Promise<void> {
		const timer = setTimeout(() => {
			this.#stopEarly('deadline');
		}, this.#context.deadlineMs);
		this.#response.once('close', () => {
			// A once call that was sent runs to its end after a disconnect, so that it isn't left half done.
			const mustFinish = this.#onceCall !== undefined && this.#exchange !== undefined;
			if (!this.#response.writableFinished && !mustFinish) {
				this.#stopEarly('cancelled');
			}
		});
		try {
			await this.#admitAndForward();
		} finally {
			this.#onceCall?.close();
			clearTimeout(timer);
		}
	}

	/** Ends the call early: removes it from the queue, or cancels it and its child calls. */
	#stopEarly(reason: 'deadline' | 'cancelled'): void {
		if (this.#ended !== 'no') {
			return;
		}

		this.#ended = reason;
		this.#guard.admission.cancel(this.#context.attemptId);
		this.#exchange?.cancel();
		this.#running?.cancelChildren();
	}

	async #admitAndForward(): Promise<void> {
		const onceDecision = this.#onceCall?.begin();
		if (onceDecision !== undefined && onceDecision.kind !== 'run') {
			const headers = this.#guard.encodeAnswerHeaders(this.#context, this.#allowance.close());
			answerUnexecutedCall(this.#response, onceDecision, this.#context.requestId, headers);
			return;
		}

		const body = await readRequestBody(this.#request, maxBodyBytes);
		if (body.isErr()) {
			this.#refuse({kind: 'notRun', reason: 'cancelled'}, body.error.message);
			return;
		}

		const decision = await this.#guard.admission.admit({
			attemptId: this.#context.attemptId,
			callName: this.#context.callName,
			importance: this.#context.importance,
			sizeClass: this.#guard.findSizeClass(this.#context.callName),
			deadlineAtMs: this.#deadlineAtMs,
		});
		switch (decision.kind) {
			case 'shed': {
				const reason = this.#ended === 'deadline' ? 'deadline' : decision.reason;
				this.#refuse(
					{kind: 'notRun', reason},
					`server "${this.#guard.readReport().server}" shed it`,
				);
				break;
			}

			case 'admitted': {
				await this.#runInSlot(body.value);
				break;
			}
		}
	}

	/** Sends the call to the backend server and releases the slot, also after an error. */
	async #runInSlot(body: RequestBody): Promise<void> {
		const startedAtMs = readMonotonicMs();
		let kind: SlotResult['kind'] = 'failed';
		try {
			kind = await this.#forward(body);
		} finally {
			this.#guard.admission.release(this.#context.attemptId, {
				kind,
				serviceMs: readMonotonicMs() - startedAtMs,
			});
		}
	}

	async #forward(body: RequestBody): Promise<SlotResult['kind']> {
		const notRunReason = this.#findNotRunReason();
		if (notRunReason !== undefined) {
			this.#refuse(
				{kind: 'notRun', reason: notRunReason},
				'ended before it was sent to the server',
			);
			return 'cancelled';
		}

		const sendDecision = this.#onceCall?.startSend() ?? 'send';
		if (sendDecision !== 'send') {
			this.#refuse(
				sendDecision === 'neverSent'
					? {kind: 'notRun', reason: 'cancelled'}
					: {kind: 'unknown', reason: 'nonce-used'},
				'the nonce of this once call may not be sent',
			);
			return 'cancelled';
		}

		const running = RunningCall.create(this.#context, this.#allowance, this.#deadlineAtMs);
		this.#running = running;
		this.#guard.running.add(running);
		try {
			this.#exchange = this.#send(body, running);
			const result = await this.#exchange.head;
			switch (result.kind) {
				case 'head': {
					// A server may echo the context; an answer with another one is not this call's.
					const {[headerNames.context]: echoed = running.token} = result.head.headers;
					if (echoed === running.token) {
						return await this.#relayAnswer(this.#exchange, result.head);
					}

					this.#exchange.cancel();
					const outcome = {kind: 'unknown', reason: 'foreign answer'} as const;
					this.#refuse(outcome, 'the answer echoes the context of another call');
					return 'failed';
				}

				case 'notSent': {
					this.#refuse({kind: 'notRun', reason: 'connect'}, result.detail);
					return 'cancelled';
				}

				case 'lost': {
					const reason = this.#ended === 'no' ? 'no answer of the server' : this.#ended;
					this.#refuse({kind: 'unknown', reason}, result.detail);
					return this.#ended === 'cancelled' ? 'cancelled' : 'failed';
				}
			}
		} finally {
			this.#guard.running.remove(running);
			running.cancelChildren();
		}
	}

	/** Checks again, right before sending, whether the deadline passed or the caller cancelled. */
	#findNotRunReason(): NotRunReason | undefined {
		if (this.#ended !== 'no') {
			return this.#ended;
		}

		return readMonotonicMs() >= this.#deadlineAtMs ? 'deadline' : undefined;
	}

	#send(body: RequestBody, running: RunningCall): Exchange {
		const headers = copyEndToEndHeaders(this.#request.headers);
		headers[headerNames.context] = running.token;
		headers[headerNames.deadline] = String(
			Math.max(1, Math.floor(this.#deadlineAtMs - readMonotonicMs())),
		);
		return Exchange.start(this.#guard.pool, {
			method: this.#request.method ?? 'GET',
			path: this.#request.url ?? '/',
			headers,
			body: chooseSentBody(body),
		});
	}

	async #relayAnswer(exchange: Exchange, head: ExchangeHead): Promise<SlotResult['kind']> {
		const allowanceLeft = this.#allowance.close();
		if (this.#response.destroyed && this.#onceCall === undefined) {
			exchange.cancel();
			return 'cancelled';
		}

		const headers = copyEndToEndHeaders(head.headers);
		if (!this.#response.destroyed) {
			this.#response.writeHead(head.status, {
				...headers,
				...this.#encodeAnswerHeaders(allowanceLeft),
			});
		}

		const end = await this.#relayBody(exchange, head.status, headers);
		if (end.kind === 'truncated') {
			return this.#ended === 'cancelled' ? 'cancelled' : 'failed';
		}

		return head.status >= 500 ? 'failed' : 'answered';
	}

	#encodeAnswerHeaders(allowanceLeft: number) {
		const isOverloadedBelow = this.#running?.isOverloadedBelow ?? false;
		return this.#guard.encodeAnswerHeaders(this.#context, allowanceLeft, isOverloadedBelow);
	}

	/** Relays the body. The answer of a minted call is stored for later attempts with its key. */
	async #relayBody(
		exchange: Exchange,
		status: number,
		headers: OutgoingHttpHeaders,
	): Promise<BodyEnd> {
		if (this.#onceCall === undefined) {
			return relayBody(exchange, this.#response);
		}

		const collector = this.#onceCall.createCollector();
		collector?.start(status, headers);
		const end = await relayBody(exchange, this.#response, {
			continuesAfterDisconnect: true,
			collector,
		});
		const record = collector?.finish();
		this.#onceCall.finish(end.kind === 'whole' ? record : undefined);
		return end;
	}

	#refuse(outcome: UnansweredOutcome, detail: string): void {
		if (outcome.kind === 'notRun') {
			this.#onceCall?.cancel();
		}

		this.#guard.metrics.countUnansweredCall(this.#context.callName, outcome.reason);
		const allowanceLeft = this.#allowance.close();
		sendProblem(
			this.#response,
			{
				status: chooseProblemStatus(outcome),
				title: outcome.kind === 'notRun' ? 'Not run' : 'No answer',
				detail,
				outcome,
				requestId: this.#context.requestId,
			},
			this.#encodeAnswerHeaders(allowanceLeft),
		);
	}
}
