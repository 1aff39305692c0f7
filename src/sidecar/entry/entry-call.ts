/** One caller's request, from its head to its answer: classify, decide, send, relay. */
import type http from 'node:http';
import {
	type AnswerHead,
	type FailureHead,
	type RefusalHead,
	type ReplyNews,
} from '../link/messages.ts';
import {type MemberView} from '../knowledge/member-view.ts';
import {type CallLevel} from '../overload/retry-budget.ts';
import {pickMember} from '../routing/picker.ts';
import {type RequestHead, type Route} from '../types.ts';
import {
	answerCaller,
	type OwnStatus,
	ownStatuses,
	relayAnswer,
	relayHead,
} from './caller-answer.ts';
import {type EntryContext} from './entry-context.ts';
import {Send} from './send.ts';

/** Time that a caller has who does not say how long it waits. */
const defaultDeadlineMs = 30_000;
/** Guards that are asked in turn before a request is given up as refused. */
const maxRefusals = 3;
/** Sends of one request to servers that refuse it without running it. */
const maxSends = 10;
/** A request with less time left is not worth sending: the way there and back takes some of it. */
const minUsefulMs = 5;
/** Return of callers who were refused for want of room: spread over this span after a first pause. */
const firstReturnMs = 250;
const returnSpanMs = 1000;
/** Return of callers while no configuration or no server is known: both come within moments. */
const unknownReturnMs = 500;

export type CallerRequest = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly head: RequestHead;
	/** The whole body, or the part of it that has come. */
	readonly body: Uint8Array;
	readonly isWhole: boolean;
};

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
	readonly #tried = new Set<string>();
	/** Members whose servers had the request. */
	readonly #servers = new Set<MemberView>();
	/** Sends that reached a server. */
	#arrivals = 0;
	#refusals = 0;
	#mayHaveRun = false;
	#isInner = false;
	#isDone = false;
	#lastReason = '';
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
		const view = pickMember(views, this.#tried, nowMs, this.ctx.random);
		if (view === undefined || this.#answerByMs - nowMs < minUsefulMs) {
			this.#giveUp(view === undefined ? 'no server has room' : 'no time is left');
			return;
		}

		this.#tried.add(view.member.instance);
		this.#sendTo(view, nowMs);
	}

	#sendTo(view: MemberView, nowMs: number): void {
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
			isRepeat: this.#arrivals > 0,
			isInner: this.#isInner,
		};
		this.#send = Send.create(view, callHead, this.#createListener(view));
		this.#send.start(this.ctx.guard, body);
		if (!isWhole && !this.#isDone) {
			this.#streamBody();
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
		this.#recordArrival(view);
		if (head.isNotRun && head.isWhole && this.#arrivals < maxSends && this.#canRepeat()) {
			this.#lastReason = `the server refused with ${head.status}`;
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
		const isPromiseBroken = head.isNotRun && this.#mayHaveRun;
		if (isPromiseBroken) {
			this.#giveUp('an earlier send may have run');
			return;
		}

		const {response} = this.caller;
		relayAnswer(response, head, body, this.ctx.isStopping());
		this.#finish(head.status, 'relayed');
	}

	#handleRefusal(view: MemberView, head: RefusalHead, wasReached: boolean): void {
		this.#lastReason = head.reason;
		this.#refusals++;
		if (head.member !== undefined) {
			this.ctx.handleMember(head.member);
		}

		if (!wasReached || head.reason === 'stopping' || head.reason === 'unreachable') {
			view.recordFailure(performance.now());
		}

		if (this.#refusals < maxRefusals) {
			this.#sendOn();
		} else {
			this.#giveUp(head.reason);
		}
	}

	#handleFailure(view: MemberView, head: FailureHead, wasReached: boolean): void {
		this.#recordArrival(view);
		this.#mayHaveRun = true;
		this.#lastReason = head.reason;
		if (!wasReached) {
			view.recordFailure(performance.now());
		}

		if (this.caller.response.headersSent) {
			this.caller.response.destroy();
			this.#finish(0, 'cut short');
		} else if (this.#hasFurtherServers() && this.#canRepeat()) {
			this.#sendOn();
		} else {
			this.#giveUp(head.reason);
		}
	}

	#recordArrival(view: MemberView): void {
		this.#arrivals++;
		this.#servers.add(view);
	}

	/** Whether a request that may have run may go to a further server. */
	#hasFurtherServers(): boolean {
		const {callKind, maxAttempts} = this.#route!;
		return callKind === 'repeatable' && this.#servers.size < maxAttempts;
	}

	#findLevel(): CallLevel {
		return this.ctx.costs.isLeaf(this.#route!.name, this.#service) ? 'leaf' : 'inner';
	}

	/** Sends a request that a server refused to a further one, or again to one that had it. */
	#sendAgain(): void {
		if (this.#servers.size < this.#route!.maxAttempts) {
			this.#sendOn();
			return;
		}

		const nowMs = performance.now();
		const view = pickMember([...this.#servers], new Set(), nowMs, this.ctx.random);
		if (view === undefined) {
			this.#giveUp('no server has room');
		} else {
			this.#sendTo(view, nowMs);
		}
	}

	/** Whether time and budget allow a further send. */
	#canRepeat(): boolean {
		const nowMs = performance.now();
		return (
			!this.#isDone &&
			this.caller.isWhole &&
			this.#answerByMs - nowMs > minUsefulMs &&
			this.ctx.budget.spend(this.#service, this.#findLevel(), nowMs)
		);
	}

	/** Answers that the request was not run, if that is certain, and that it failed otherwise. */
	#giveUp(reason: string): void {
		if (this.#mayHaveRun) {
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
		const {head, request} = this.caller;
		this.ctx.log.recordRequest({
			requestId: head.requestId,
			route: this.#route?.name ?? request.url ?? '',
			service: this.#service,
			status,
			outcome,
			tookMs: performance.now() - this.#arrivedAtMs,
			sends: this.#tried.size,
			arrivals: this.#arrivals,
			lastReason: this.#lastReason,
			lastInstance: this.#send?.view.member.instance ?? '',
			serverId: this.#send?.view.member.serverId ?? '',
			configVersion: this.ctx.readRoutes()?.config.version ?? 0,
			deadlineMs: head.deadlineMs ?? 0,
			reportAgeMs: this.#reportAgeMs,
		});
	}

	/** Passes on the rest of a body that is too long to be kept. */
	#streamBody(): void {
		const {request} = this.caller;
		request.on('data', (chunk: Uint8Array) => {
			if (this.#send?.sendBody(chunk) === false) {
				request.pause();
			}
		});
		request.on('end', () => {
			this.#send?.endBody();
		});
		request.resume();
	}
}
