/** Attempts of one request so far, and whether a further one is allowed. */
import {type MemberView} from '../discovery/member-view.ts';
import {type CallTreePosition} from '../overload/retry-budget.ts';
import {type FailureHead, type RefusalReason} from '../link/messages.ts';
import {canSendOn, serverEnds} from '../quarantine/server-end.ts';
import {
	groupByDistance,
	type MembersByDistance,
	pickMember,
	type PickInput,
} from '../routing/picker.ts';
import {type Route} from '../types.ts';
import {type EntryContext} from './entry-context.ts';

/** Refusals by guards after which a request is answered as refused. */
const maxRefusals = 3;
/** Servers with a limit that are asked before the request waits for one of them. */
const maxLimitedRefusals = 4;
/** Upper bound for attempts that reached a server, when servers refuse the request without running it. */
const maxArrivals = 10;
/** Retry-After of a request under which servers have ended: another try would not be sent either. */
const quarantinedRetryAfterMs = 60_000;
/** A request with less remaining time is not sent, since the round trip takes part of it. */
export const minRemainingMs = 5;

export class AttemptHistory {
	/**
	 * @example
	 * const history = AttemptHistory.create(ctx, route, 'catalogue');
	 * history.recordAttempt(view);
	 */
	static create(ctx: EntryContext, route: Route, service: string, digest = ''): AttemptHistory {
		return new AttemptHistory(ctx, route, service, digest);
	}

	/** Instances to which the request was sent, whatever the result. */
	readonly triedInstances = new Set<string>();
	/** Members whose servers received the request. */
	readonly reachedMembers = new Set<MemberView>();
	/** Attempts that reached a server. */
	arrivals = 0;
	mayHaveRun = false;
	/** Whether a server has ended under the request. */
	hasServerEnded = false;
	lastReason = '';
	lastView: MemberView | undefined;
	/** Whether the request waits for a server with a limit, since no other has room. */
	isPatient = false;
	#refusalCount = 0;
	/** Whether the ends of servers allow that the request is sent on. */
	#canSendOn = true;
	/** Instances that refused the request because of their servers' limits. */
	readonly #limitedInstances = new Set<string>();

	private constructor(
		private readonly ctx: EntryContext,
		private readonly route: Route,
		private readonly service: string,
		/** Identifies requests that come again. */
		readonly digest: string,
	) {}

	/**
	 * Picks a member that was not tried yet. When servers with a limit have refused the request and no other can accept
	 * it, one of them is picked to let it wait.
	 *
	 * @param boundMs - time within which the request is answered in any case
	 * @returns undefined when no member can accept the request
	 */
	pickNext(nowMs: number, boundMs = Number.POSITIVE_INFINITY): MemberView | undefined {
		const members = this.ctx.directory.listService(this.service);
		const {random} = this.ctx;
		if (!this.isPatient) {
			const view = this.#pickUntried(members, {nowMs, boundMs, random});
			if (view !== undefined || this.#limitedInstances.size === 0) {
				return view;
			}

			this.isPatient = true;
		}

		const refused = new Set<string>();
		for (const instance of this.triedInstances) {
			if (!this.#limitedInstances.has(instance)) {
				refused.add(instance);
			}
		}

		return pickMember(members, {tried: refused, nowMs, boundMs, random});
	}

	/** Whether servers have ended under such requests, so that none gets a further one. */
	isQuarantined(): boolean {
		return this.ctx.quarantine.has(this.digest);
	}

	/** Returns when the caller may retry; undefined for the usual time. */
	readRetryAfterMs(): number | undefined {
		return this.isQuarantined() ? quarantinedRetryAfterMs : undefined;
	}

	/** Picks among the members whose servers received the request, all of which refused it. */
	pickReached(nowMs: number): MemberView | undefined {
		const reached = groupByDistance(this.reachedMembers);
		const {random} = this.ctx;
		return pickMember(reached, {
			tried: new Set(),
			nowMs,
			boundMs: Number.POSITIVE_INFINITY,
			random,
		});
	}

	recordAttempt(view: MemberView): void {
		this.triedInstances.add(view.member.instance);
		this.#limitedInstances.delete(view.member.instance);
		this.lastView = view;
	}

	recordArrival(view: MemberView): void {
		this.arrivals++;
		this.reachedMembers.add(view);
	}

	/** Records an attempt without an answer whose request may have run. */
	recordFailure(view: MemberView, {reason, serverEnd = serverEnds.none}: FailureHead): void {
		this.recordArrival(view);
		this.mayHaveRun = true;
		this.lastReason = reason;
		this.#canSendOn &&= canSendOn(serverEnd, this.hasServerEnded);
		this.hasServerEnded ||= serverEnd !== serverEnds.none;
	}

	/**
	 * Records a guard's refusal.
	 *
	 * @returns whether another guard may be tried
	 */
	recordRefusal(reason: RefusalReason): boolean {
		this.lastReason = reason;
		if (reason === 'quarantined') {
			return false;
		}

		if (reason === 'limited' && !this.isPatient && this.lastView !== undefined) {
			this.#limitedInstances.add(this.lastView.member.instance);
			return true;
		}

		this.#refusalCount++;
		if (this.#refusalCount === maxRefusals && !this.isPatient && this.#limitedInstances.size > 0) {
			this.isPatient = true;
			return true;
		}

		return this.#refusalCount < maxRefusals;
	}

	/** Whether the route's `maxAttempts` allows a server that has not received the request yet. */
	canTryFurtherServer(): boolean {
		return this.reachedMembers.size < this.route.maxAttempts;
	}

	/** Spends a retry after a server refused the request without running it; false if not allowed. */
	trySpendAfterRefusal(remainingMs: number): boolean {
		return this.arrivals < maxArrivals && this.#trySpend(remainingMs);
	}

	/** Spends a retry after an attempt that may have run; false if not allowed. */
	trySpendAfterFailure(remainingMs: number): boolean {
		const isRepeatable = this.route.callKind === 'repeatable';
		const mayRepeat = isRepeatable && this.#canSendOn && this.canTryFurtherServer();
		return mayRepeat && this.#trySpend(remainingMs);
	}

	/** Returns the mean slot time of such requests at the server, in milliseconds; 0 while unknown. */
	readSlotTimeMs(): number {
		return this.ctx.costs.readSlotTimeMs(this.route.name, this.service);
	}

	/** Picks an untried member; once a server with a limit has refused the request, servers without one come first. */
	#pickUntried(
		members: MembersByDistance,
		input: Omit<PickInput, 'tried'>,
	): MemberView | undefined {
		const tried = this.triedInstances;
		if (this.#limitedInstances.size === 0) {
			return pickMember(members, {...input, tried});
		}

		const skipped = new Set(this.triedInstances);
		for (const view of Object.values(members).flat()) {
			if (view.hasLimit()) {
				skipped.add(view.member.instance);
			}
		}

		const unlimited = pickMember(members, {...input, tried: skipped});
		return unlimited === undefined && this.#limitedInstances.size < maxLimitedRefusals
			? pickMember(members, {...input, tried})
			: unlimited;
	}

	#trySpend(remainingMs: number): boolean {
		const {budget, costs} = this.ctx;
		const position: CallTreePosition = costs.isLeaf(this.route.name, this.service)
			? 'leaf'
			: 'inner';
		return (
			remainingMs > minRemainingMs && budget.trySpend(this.service, position, performance.now())
		);
	}
}
