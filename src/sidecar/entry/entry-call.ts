/** One caller's request, from its head to its answer: classify, decide, send, relay. */
import {
	type AnswerHead,
	type FailureHead,
	type RefusalHead,
	type ReplyNews,
} from '../link/messages.ts';
import {type MemberView} from '../knowledge/member-view.ts';
import {pickMember} from '../routing/picker.ts';
import {type Route} from '../types.ts';
import {
	answerCaller,
	type OwnStatus,
	ownStatuses,
	relayAnswer,
	relayHead,
} from './caller-answer.ts';
import {type EntryContext} from './entry-context.ts';
import {type CallerRequest, streamBody} from './caller-request.ts';
import {createRecord} from './request-record.ts';
import {minUsefulMs, SendHistory} from './send-history.ts';
import {Send} from './send.ts';

/** Time that a caller has who does not say how long it waits. */
const defaultDeadlineMs = 30_000;
/** Return of callers who were refused for want of room: spread over this span after a first pause. */
const firstReturnMs = 250;
const returnSpanMs = 1000;
/** Return of callers while no configuration or no server is known: both come within moments. */
const unknownReturnMs = 500;

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
	#isDone = false;
	#reportAgeMs = -1;

	private constructor(
		private readonly ctx: EntryContext,
		private readonly caller: CallerRequest,
	) {}

	start(): void {
		const {request, response, head} = this.caller;
		const routes = this.ctx.readRoutes();
		if (this.ctx.isClosing()) {
			this.#answer(ownStatuses.notRun, 'the sidecar stops', unknownReturnMs);
			return;
		}

		if (routes === undefined) {
			this.#answer(ownStatuses.notRun, 'no configuration is known yet', unknownReturnMs);
			return;
		}

		const route = routes.findRoute(request.headers.host ?? '', request.url ?? '/');
		if (route === undefined) {
			this.#answer(ownStatuses.noRoute, `version ${routes.config.version} has no such route`);
			return;
		}

		this.#route = route;
		this.#service = routes.pickService(route);
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
				this.#answer(ownStatuses.notRun, verdict.reason, verdict.retryAfterMs);
				break;
			}
		}
	}

	/** Sends the request to the next server, or gives it up. */
	#sendOn(): void {
		const nowMs = performance.now();
		if (this.#isDone) {
			return;
		}

		const views = this.ctx.directory.listService(this.#service);
		const view = pickMember(views, this.#history!.tried, nowMs, this.ctx.random);
		if (view === undefined || this.#answerByMs - nowMs < minUsefulMs) {
			this.#giveUp(view === undefined ? 'no server has room' : 'no time is left');
			return;
		}

		this.#sendTo(view, nowMs);
	}

	#sendTo(view: MemberView, nowMs: number): void {
		const history = this.#history!;
		const {request, head, body, isWhole} = this.caller;
		const route = this.#route!;
		const callHead = {
			nonce: this.ctx.createNonce(),
			requestId: head.requestId,
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			headers: head.headers,
			remainingMs: this.#answerByMs - nowMs,
			service: this.#service,
			serverId: view.member.serverId,
			callerService: this.ctx.readCallerService(),
			route: route.name,
			isOnce: route.callKind === 'once',
			priority: route.priority,
			isWhole,
			isRepeat: history.arrivals > 0,
			isInner: this.#isInner,
		};
		history.recordSend(view);
		this.#send = Send.create(view, callHead, this.#createListener(view));
		this.#send.start(this.ctx.guard, body);
		if (!isWhole && !this.#isDone) {
			streamBody(this.caller.request, this.#send);
		}
	}

	#createListener(view: MemberView) {
		return {
			handleNews: (news: ReplyNews) => {
				view.recordLoad(news.load, performance.now());
				this.ctx.handleNews(view.member, this.#route!.name, news);
			},
			handleAnswer: (head: AnswerHead, body: Uint8Array) => {
				this.#handleAnswer(view, head, body);
			},
			handleData: (chunk: Uint8Array) => {
				if (!this.caller.response.write(chunk)) {
					this.#send?.setPaused(true);
				}
			},
			handleEnd: () => {
				this.caller.response.end();
				this.#finish(200, 'relayed');
			},
			handleRefusal: (head: RefusalHead, wasReached: boolean) => {
				this.#handleRefusal(view, head, wasReached);
			},
			handleFailure: (head: FailureHead, wasReached: boolean) => {
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
			relayHead(this.caller.response, head);
			this.caller.response.on('drain', () => {
				this.#send?.setPaused(false);
			});
			this.caller.response.write(body);
			return;
		}

		this.#relay(head, body);
	}

	/** Hands a server's answer to the caller. */
	#relay(head: AnswerHead, body: Uint8Array): void {
		const isPromiseBroken = head.isNotRun && this.#history!.mayHaveRun;
		if (isPromiseBroken) {
			this.#giveUp('an earlier send may have run');
			return;
		}

		const {response} = this.caller;
		relayAnswer(response, head, body, this.ctx.isStopping());
		this.#finish(head.status, 'relayed');
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

		if (this.caller.response.headersSent) {
			this.caller.response.destroy();
			this.#finish(0, 'cut short');
		} else if (this.#canRepeat(left => history.spendAfterFailure(left))) {
			this.#sendOn();
		} else {
			this.#giveUp(head.reason);
		}
	}

	/** Sends a request that a server refused to a further one, or again to one that had it. */
	#sendAgain(): void {
		const {servers} = this.#history!;
		if (this.#history!.hasFurtherServers()) {
			this.#sendOn();
			return;
		}

		const nowMs = performance.now();
		const view = pickMember([...servers], new Set(), nowMs, this.ctx.random);
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
		return !this.#isDone && this.caller.isWhole && spend(remainingMs);
	}

	/** Answers that the request was not run, if that is certain, and that it failed otherwise. */
	#giveUp(reason: string): void {
		if (this.#history?.mayHaveRun) {
			this.#answer(ownStatuses.failed, reason);
		} else {
			const retryAfterMs = firstReturnMs + this.ctx.random() * returnSpanMs;
			this.#answer(ownStatuses.notRun, reason, retryAfterMs);
		}
	}

	#handleTimeout(): void {
		this.#send?.cancel();
		this.#answer(ownStatuses.timeout, 'no answer in time');
	}

	#handleCallerGone(): void {
		if (!this.#isDone) {
			this.#send?.cancel();
			this.#finish(0, 'the caller left');
		}
	}

	#answer(status: OwnStatus, reason: string, retryAfterMs?: number): void {
		const {response} = this.caller;
		if (this.#isDone) {
			return;
		}

		if (response.headersSent) {
			response.destroy();
		} else {
			const closes = this.ctx.isStopping() || !this.caller.isWhole;
			answerCaller(response, status, {
				reason,
				closes,
				...(retryAfterMs !== undefined && {retryAfterMs}),
			});
		}

		this.#finish(status, reason);
	}

	#finish(status: number, outcome: string): void {
		if (this.#isDone) {
			return;
		}

		this.#isDone = true;
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
