/** Handles one caller's request: checks and admits it, sends it to guards, relays the answer. */
import {type AnswerHead, type FailureHead, type RefusalHead} from '../link/messages.ts';
import {type MemberView} from '../discovery/member-view.ts';
import {type Route} from '../types.ts';
import {localStatuses} from './caller-answer.ts';
import {CallerReply} from './caller-reply.ts';
import {type EntryContext} from './entry-context.ts';
import {type CallAdmission, decideCallAdmission} from './call-admission.ts';
import {computeCallerDigest, createCallHead} from './call-head.ts';
import {BodyStream} from './body-stream.ts';
import {type CallerRequest, hasCallerLeft} from './caller-request.ts';
import {createStreamListener} from './stream-listener.ts';
import {checkRequest, computeTimeoutMs} from './request-checks.ts';
import {createRequestRecord} from './request-record.ts';
import {minRemainingMs, AttemptHistory} from './attempt-history.ts';
import {Attempt, type AttemptListener} from './attempt.ts';

export class EntryCall {
	/**
	 * @example
	 * const call = EntryCall.create(ctx, callerRequest);
	 * call.start();
	 */
	static create(ctx: EntryContext, caller: CallerRequest): EntryCall {
		return new EntryCall(ctx, caller);
	}

	readonly #arrivedAtMs = performance.now();
	#route: Route | undefined;
	#service = '';
	#deadlineAtMs = 0;
	#timer: NodeJS.Timeout | undefined;
	#attempt: Attempt | undefined;
	#history: AttemptHistory | undefined;
	#admission: CallAdmission | undefined;
	/** The rest of a body that is too long to be buffered. */
	#stream: BodyStream | undefined;
	readonly #reply: CallerReply;
	/** Whether the request is not sent to another server any more. */
	#isWithdrawn = false;

	private constructor(
		private readonly ctx: EntryContext,
		private readonly caller: CallerRequest,
	) {
		this.#reply = CallerReply.create({
			response: caller.response,
			isBodyRead: caller.isWhole,
			isStopping: () => ctx.isStopping(),
			random: () => ctx.random(),
			handleDone: (status, outcome) => {
				this.#finish(status, outcome);
			},
		});
	}

	start(): void {
		if (hasCallerLeft(this.caller)) {
			this.ctx.log.cancelledCounts.unread++;
			this.#handleCallerClosed();
			return;
		}

		const result = checkRequest(this.ctx, this.caller);
		if (result.kind === 'passed') {
			this.#startOnRoute(result.route);
		} else {
			this.#reply.answer(result.status, result.reason, result.retryAfterMs);
		}
	}

	/** Gives the request up unless its server answers: one that has not run is refused. */
	withdraw(): void {
		this.#isWithdrawn = true;
		this.#attempt?.withdraw();
	}

	/** Answers at once; what has become of the request isn't known. */
	end(): void {
		if (this.#attempt === undefined) {
			this.#reply.refuse('the sidecar stops');
		} else {
			this.#answerTimeout('the sidecar stops');
		}
	}

	#answerTimeout(reason: string): void {
		this.#attempt?.cancel();
		this.#reply.answer(localStatuses.timeout, reason);
	}

	#startOnRoute(route: Route): void {
		this.#route = route;
		this.#service = this.ctx.readRoutes()!.pickService(route);
		const digest = computeCallerDigest(this.caller, this.ctx.readCallerService());
		this.#history = AttemptHistory.create(this.ctx, route, this.#service, digest);
		const timeoutMs = computeTimeoutMs(this.caller.head, route);
		this.#deadlineAtMs = this.#arrivedAtMs + timeoutMs;
		this.#timer = setTimeout(() => {
			this.#answerTimeout('no answer in time');
		}, timeoutMs);
		this.caller.response.on('close', () => {
			this.#handleCallerClosed();
		});
		const admission = decideCallAdmission(this.ctx, route, this.#service, performance.now());
		this.#admission = admission;
		if (admission.kind === 'admitted') {
			this.#sendToNext();
		} else {
			this.#reply.refuse(admission.reason, admission.retryAfterMs);
		}
	}

	/** Sends the request to a member that was not tried yet, or answers when none is left. */
	#sendToNext(): void {
		if (hasCallerLeft(this.caller)) {
			this.#handleCallerClosed();
		}

		if (this.#reply.isDone) {
			return;
		}

		if (this.#isWithdrawn || this.#history!.isQuarantined()) {
			this.#fail(
				this.#isWithdrawn ? 'the sidecar stops' : 'servers have ended under such requests',
			);
			return;
		}

		const nowMs = performance.now();
		const view = this.#history!.pickNext(nowMs, this.#deadlineAtMs - nowMs);
		if (view === undefined || this.#deadlineAtMs - nowMs < minRemainingMs) {
			this.#fail(view === undefined ? 'no server has room' : 'no time is left');
		} else {
			this.#sendTo(view);
		}
	}

	#sendTo(view: MemberView): void {
		const history = this.#history!;
		const callHead = createCallHead(this.ctx, this.caller, {
			route: this.#route!,
			service: this.#service,
			view,
			remainingMs: this.#deadlineAtMs - performance.now(),
			isNested: this.#admission?.kind === 'admitted' && this.#admission.isNested,
			isPatient: history.isPatient,
			digest: history.digest,
		});
		history.recordAttempt(view);
		const attempt = Attempt.create(view, callHead, this.#createListener(view));
		this.#attempt = attempt;
		attempt.start(this.ctx.guard, this.caller.body, history.readSlotTimeMs());
		// The own guard may have refused the request by now, and another attempt have taken over.
		if (!this.caller.isWhole && !this.#reply.isDone && this.#attempt === attempt) {
			this.#stream ??= BodyStream.create(
				this.caller,
				this.ctx.readRoutes()!.config.limits,
				reason => {
					this.#attempt?.cancel();
					this.#reply.answer(localStatuses.bodyTooLong, reason);
				},
			);
			this.#stream.attach(attempt);
		}
	}

	#createListener(view: MemberView): AttemptListener {
		return {
			...createStreamListener(this.caller.request, this.#reply, isPaused => {
				this.#attempt?.setPaused(isPaused);
			}),
			handleMetadata: metadata => {
				this.ctx.handleMetadata(view, this.#route!.name, metadata);
			},
			handleAnswer: (head, body) => {
				this.#handleAnswer(view, head, body);
			},
			handleRefusal: (head, wasReached) => {
				this.#handleRefusal(view, head, wasReached);
			},
			handleFailure: (head, wasReached) => {
				this.#handleFailure(view, head, wasReached);
			},
		};
	}

	#handleAnswer(view: MemberView, head: AnswerHead, body: Uint8Array): void {
		const history = this.#history!;
		history.recordArrival(view);
		if (head.isNotRun && head.isWhole && this.#trySpend(ms => history.trySpendAfterRefusal(ms))) {
			history.lastReason = `the server refused with ${head.status}`;
			this.#retryAfterRefusal();
			return;
		}

		view.recordAnswer(performance.now() - this.#arrivedAtMs);
		if (!head.isWhole) {
			this.#reply.relayHead(head, body, () => {
				this.#attempt?.setPaused(false);
			});
			return;
		}

		// The server's statement that it did not run the request does not cover earlier attempts.
		if (head.isNotRun && history.mayHaveRun) {
			this.#fail('an earlier send may have run');
		} else {
			this.#reply.relay(head, body);
		}
	}

	#handleRefusal(view: MemberView, head: RefusalHead, wasReached: boolean): void {
		const canTryAnother = this.#history!.recordRefusal(head.reason);
		if (head.member !== undefined) {
			this.ctx.handleMember(head.member);
		}

		view.recordRefusal(head.reason, wasReached, performance.now());

		if (canTryAnother && this.#stream?.hasPassedOn !== true) {
			this.#sendToNext();
		} else {
			this.#fail(head.reason);
		}
	}

	#handleFailure(view: MemberView, head: FailureHead, wasReached: boolean): void {
		const history = this.#history!;
		history.recordFailure(view, head);
		if (!wasReached || history.hasServerEnded) {
			view.recordFailure(performance.now());
		}

		if (this.#reply.hasBegun) {
			this.#reply.abort();
		} else if (this.#trySpend(ms => history.trySpendAfterFailure(ms))) {
			this.#sendToNext();
		} else {
			this.#fail(head.reason);
		}
	}

	/** Retries a request that a server refused, on a further server or on one that it reached before. */
	#retryAfterRefusal(): void {
		const history = this.#history!;
		if (history.canTryFurtherServer()) {
			this.#sendToNext();
			return;
		}

		const view = history.pickReached(performance.now());
		if (view === undefined) {
			this.#fail('no server has room');
		} else {
			this.#sendTo(view);
		}
	}

	/** Spends a retry from the budget, given the remaining time; false if the request may not be retried. */
	#trySpend(spend: (remainingMs: number) => boolean): boolean {
		const remainingMs = this.#deadlineAtMs - performance.now();
		return !this.#reply.isDone && this.caller.isWhole && spend(remainingMs);
	}

	/** Answers that the request was not run, when that is certain, or else that it failed. */
	#fail(reason: string): void {
		if (this.#history?.mayHaveRun) {
			this.#reply.answer(localStatuses.failed, reason);
		} else {
			this.#reply.refuse(reason, this.#history?.readRetryAfterMs());
		}
	}

	#handleCallerClosed(): void {
		if (!this.#reply.isDone) {
			this.#attempt?.cancel();
			this.#reply.recordDisconnect();
		}
	}

	#finish(status: number, outcome: string): void {
		clearTimeout(this.#timer);
		this.#stream?.end();
		this.ctx.log.recordRequest(
			createRequestRecord({
				caller: this.caller,
				route: this.#route,
				service: this.#service,
				history: this.#history,
				status,
				outcome,
				tookMs: performance.now() - this.#arrivedAtMs,
				reportAgeMs: this.#admission?.kind === 'shed' ? this.#admission.reportAgeMs : -1,
				ctx: this.ctx,
			}),
		);
	}
}
