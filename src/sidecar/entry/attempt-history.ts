/** Where a request has been, and whether it may go on to a further server. */
import {type MemberView} from '../knowledge/member-view.ts';
import {type CallLevel} from '../overload/retry-budget.ts';
import {pickMember} from '../routing/picker.ts';
import {type Route} from '../types.ts';
import {type EntryContext} from './entry-context.ts';

/** Guards that are asked in turn before a request is given up as refused. */
const maxRefusals = 3;
/** Sends of one request to servers that refuse it without running it. */
const maxArrivals = 10;
/** A request with less time left is not worth sending: the way there and back takes some of it. */
export const minRemainingMs = 5;

export class AttemptHistory {
	/**
	 * @example
	 * const history = SendHistory.create(ctx, route, 'catalogue');
	 * history.recordSend(view);
	 */
	static create(ctx: EntryContext, route: Route, service: string): AttemptHistory {
		return new AttemptHistory(ctx, route, service);
	}

	/** Instances to which the request was sent, whatever became of it. */
	readonly triedInstances = new Set<string>();
	/** Members whose servers had the request. */
	readonly reachedMembers = new Set<MemberView>();
	/** Sends that reached a server. */
	arrivals = 0;
	mayHaveRun = false;
	lastReason = '';
	lastView: MemberView | undefined;
	#refusals = 0;

	private constructor(
		private readonly ctx: EntryContext,
		private readonly route: Route,
		private readonly service: string,
	) {}

	/** Picks a server that has not been asked yet; undefined when none can take the request. */
	pickNext(nowMs: number): MemberView | undefined {
		const views = this.ctx.directory.listService(this.service);
		return pickMember(views, this.triedInstances, nowMs, this.ctx.random);
	}

	/** Picks among the servers that had the request, all of which refused it. */
	pickReached(nowMs: number): MemberView | undefined {
		return pickMember([...this.reachedMembers], new Set(), nowMs, this.ctx.random);
	}

	recordAttempt(view: MemberView): void {
		this.triedInstances.add(view.member.instance);
		this.lastView = view;
	}

	recordArrival(view: MemberView): void {
		this.arrivals++;
		this.reachedMembers.add(view);
	}

	/** Records that the request may have run and has no answer. */
	recordFailure(view: MemberView, reason: string): void {
		this.recordArrival(view);
		this.mayHaveRun = true;
		this.lastReason = reason;
	}

	/**
	 * Records a guard's refusal.
	 *
	 * @returns whether another guard may be asked
	 */
	recordRefusal(reason: string): boolean {
		this.#refusals++;
		this.lastReason = reason;
		return this.#refusals < maxRefusals;
	}

	/** Whether the route allows a server that has not had the request yet. */
	canTryFurtherServer(): boolean {
		return this.reachedMembers.size < this.route.maxAttempts;
	}

	/** Takes a repeat of a request that a server refused without running it, if the budget has one. */
	spendAfterRefusal(remainingMs: number): boolean {
		return this.arrivals < maxArrivals && this.#spend(remainingMs);
	}

	/** Takes a repeat of a request that may have run, if it may run again and the budget has one. */
	spendAfterFailure(remainingMs: number): boolean {
		const isRepeatable = this.route.callKind === 'repeatable';
		return isRepeatable && this.canTryFurtherServer() && this.#spend(remainingMs);
	}

	/** Usual time of such requests at the server, in milliseconds; 0 while it is not known. */
	readUsualMs(): number {
		return this.ctx.costs.readOwn(this.route.name, this.service);
	}

	#spend(remainingMs: number): boolean {
		const {budget, costs} = this.ctx;
		const level: CallLevel = costs.isLeaf(this.route.name, this.service) ? 'leaf' : 'inner';
		return remainingMs > minRemainingMs && budget.spend(this.service, level, performance.now());
	}
}
