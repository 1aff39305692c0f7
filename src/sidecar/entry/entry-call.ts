/** One caller's request, from its head to its answer: classify, decide, send, relay. */
import {type AnswerHead, type FailureHead, type RefusalHead} from '../link/messages.ts';
import {type MemberView} from '../knowledge/member-view.ts';
import {type Route} from '../types.ts';
import {ownStatuses} from './caller-answer.ts';
import {CallerReply} from './caller-reply.ts';
import {type EntryContext} from './entry-context.ts';
import {createCallHead} from './call-head.ts';
import {type CallerRequest, streamBody} from './caller-request.ts';
import {checkRequest} from './request-checks.ts';
import {createRecord} from './request-record.ts';
import {minUsefulMs, SendHistory} from './send-history.ts';
import {Send, type SendListener} from './send.ts';

/** Time that a caller has who does not say how long it waits. */
const defaultDeadlineMs = 30_000;

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
	#answerByMs = 0;
	#timer: NodeJS.Timeout | undefined;
	#send: Send | undefined;
	#history: SendHistory | undefined;
	#isInner = false;
	readonly #reply: CallerReply;
	#reportAgeMs = -1;

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
		const verdict = checkRequest(this.ctx, this.caller);
		switch (verdict.kind) {
			case 'passed': {
				this.#startOn(verdict.route);
				break;
			}

			case 'rejected': {
				this.#reply.answer(verdict.status, verdict.reason, verdict.retryAfterMs);
				break;
			}
		}
	}

	#startOn(route: Route): void {
		const {response, head} = this.caller;
		this.#route = route;
		this.#service = this.ctx.readRoutes()!.pickService(route);
		this.#history = SendHistory.create(this.ctx, route, this.#service);
		const patienceMs = Math.min(head.deadlineMs ?? defaultDeadlineMs, route.timeoutMs);
		this.#answerByMs = this.#arrivedAtMs + patienceMs;
		this.#timer = setTimeout(() => {
			this.#handleTimeout();
		}, patienceMs);
		response.on('close', () => {
			this.#handleCallerGone();
		});
		this.#admit(route);
	}

	#admit(route: Route): void {
		const nowMs = performance.now();
		this.ctx.budget.recordRequest(this.#service, nowMs);
		this.ctx.model.recordMade(route.name, nowMs);
		// Until a guard has told, a request may be a call of work that was admitted before.
		const isInner = this.ctx.model.isInner(route.name);
		this.#isInner = isInner === true;
		if (isInner !== false) {
			this.#sendOn();
			return;
		}

		const verdict = this.ctx.admission.decide(route, this.#service, nowMs);
		switch (verdict.kind) {
			case 'admitted': {
				this.#sendOn();
				break;
			}

			case 'shed': {
				this.#reportAgeMs = verdict.reportAgeMs;
				this.#reply.refuse(verdict.reason, verdict.retryAfterMs);
				break;
			}
		}
	}

	/** Sends the request to the next server, or gives it up. */
	#sendOn(): void {
		if (this.#reply.isDone) {
			return;
		}

		const nowMs = performance.now();
		const view = this.#history!.pickNext(nowMs);
		if (view === undefined || this.#answerByMs - nowMs < minUsefulMs) {
			this.#giveUp(view === undefined ? 'no server has room' : 'no time is left');
			return;
		}

		this.#sendTo(view, nowMs);
	}

	#sendTo(view: MemberView, nowMs: number): void {
		const history = this.#history!;
		const {body, isWhole} = this.caller;
		const callHead = createCallHead(this.ctx, this.caller, {
			route: this.#route!,
			service: this.#service,
			serverId: view.member.serverId,
			remainingMs: this.#answerByMs - nowMs,
			isInner: this.#isInner,
		});
		history.recordSend(view);
		this.#send = Send.create(view, callHead, this.#createListener(view));
		this.#send.start(this.ctx.guard, body, history.readUsualMs());
		if (!isWhole && !this.#reply.isDone) {
			streamBody(this.caller, this.#send, this.ctx.readRoutes()!.config.limits, reason => {
				this.#send?.cancel();
				this.#reply.answer(ownStatuses.bodyTooLong, reason);
			});
		}
	}

	#createListener(view: MemberView): SendListener {
		return {
			handleNews: news => {
				this.ctx.handleNews(view, this.#route!.name, news);
			},
			handleAnswer: (head, body) => {
				this.#handleAnswer(view, head, body);
			},
			handleData: chunk => {
				if (!this.#reply.write(chunk)) {
					this.#send?.setPaused(true);
				}
			},
			handleEnd: () => {
				this.#reply.end();
			},
			handleRefusal: (head, wasReached) => {
				this.#handleRefusal(view, head, wasReached);
			},
			handleFailure: (head, wasReached) => {
				this.#handleFailure(view, head, wasReached);
			},
			handleDrain: () => {
				this.caller.request.resume();
			},
		};
	}

	#handleAnswer(view: MemberView, head: AnswerHead, body: Uint8Array): void {
		const history = this.#history!;
		history.recordArrival(view);
		if (head.isNotRun && head.isWhole && this.#canRepeat(left => history.spendAfterRefusal(left))) {
			history.lastReason = `the server refused with ${head.status}`;
			this.#sendAgain();
			return;
		}

		view.recordAnswer(performance.now() - this.#arrivedAtMs);
		if (!head.isWhole) {
			this.#reply.begin(head, body, () => {
				this.#send?.setPaused(false);
			});
			return;
		}

		// A server's word that it did not run the request says nothing of the servers before.
		if (head.isNotRun && history.mayHaveRun) {
			this.#giveUp('an earlier send may have run');
		} else {
			this.#reply.relay(head, body);
		}
	}

	#handleRefusal(view: MemberView, head: RefusalHead, wasReached: boolean): void {
		const mayAskAnother = this.#history!.recordRefusal(head.reason);
		if (head.member !== undefined) {
			this.ctx.handleMember(head.member);
		}

		if (!wasReached || head.reason === 'stopping' || head.reason === 'unreachable') {
			view.recordFailure(performance.now());
		}

		if (mayAskAnother) {
			this.#sendOn();
		} else {
			this.#giveUp(head.reason);
		}
	}

	#handleFailure(view: MemberView, head: FailureHead, wasReached: boolean): void {
		const history = this.#history!;
		history.recordFailure(view, head.reason);
		if (!wasReached) {
			view.recordFailure(performance.now());
		}

		if (this.#reply.hasBegun) {
			this.#reply.cut();
		} else if (this.#canRepeat(left => history.spendAfterFailure(left))) {
			this.#sendOn();
		} else {
			this.#giveUp(head.reason);
		}
	}

	/** Sends a request that a server refused to a further one, or again to one that had it. */
	#sendAgain(): void {
		const history = this.#history!;
		if (history.hasFurtherServers()) {
			this.#sendOn();
			return;
		}

		const nowMs = performance.now();
		const view = history.pickAgain(nowMs);
		if (view === undefined) {
			this.#giveUp('no server has room');
		} else {
			this.#sendTo(view, nowMs);
		}
	}

	/**
	 * Whether a further send is possible.
	 *
	 * @param spend - takes a repeat, given the time that is left
	 */
	#canRepeat(spend: (remainingMs: number) => boolean): boolean {
		const remainingMs = this.#answerByMs - performance.now();
		return !this.#reply.isDone && this.caller.isWhole && spend(remainingMs);
	}

	/** Answers that the request was not run, if that is certain, and that it failed otherwise. */
	#giveUp(reason: string): void {
		if (this.#history?.mayHaveRun) {
			this.#reply.answer(ownStatuses.failed, reason);
		} else {
			this.#reply.refuse(reason);
		}
	}

	#handleTimeout(): void {
		this.#send?.cancel();
		this.#reply.answer(ownStatuses.timeout, 'no answer in time');
	}

	#handleCallerGone(): void {
		if (!this.#reply.isDone) {
			this.#send?.cancel();
			this.#reply.abandon();
		}
	}

	#finish(status: number, outcome: string): void {
		clearTimeout(this.#timer);
		this.ctx.log.recordRequest(
			createRecord({
				caller: this.caller,
				route: this.#route,
				service: this.#service,
				history: this.#history,
				status,
				outcome,
				tookMs: performance.now() - this.#arrivedAtMs,
				reportAgeMs: this.#reportAgeMs,
				configVersion: this.ctx.readRoutes()?.config.version,
			}),
		);
	}
}
