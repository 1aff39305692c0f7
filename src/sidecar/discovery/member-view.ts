/** One backend server as seen by this entry: its announcement, its load and the results of requests. */
import {computeBurst} from '../guard/request-pacer.ts';
import {type DrainPlan} from '../drain-plan.ts';
import {type GuardLoad, type GuardPace, type RefusalReason} from '../link/messages.ts';
import {type LinkPool} from '../link/link-pool.ts';
import {type KnownLimit, type Member} from '../types.ts';

/** Distance of a member: in the entry's own data centre, in the same region, or in another region. */
export const distances = {dataCentre: 0, region: 1, far: 2} as const;
export type Distance = (typeof distances)[keyof typeof distances];

/** How requests reach a member: through the local guard or over links to a peer. */
export type MemberTransport =
	| {readonly kind: 'local'; readonly readLoad: () => GuardLoad}
	| {
			readonly kind: 'link';
			readonly pool: Pick<LinkPool, 'open' | 'resume' | 'sync' | 'closeIdleBefore'>;
	  };

/** Backoff after the first failure; doubled with each further failure in a row. */
const initialBackoffMs = 400;
const maxBackoffMs = 6000;
/** An older load report is only a part of the mean that is then taken instead. */
const loadMaxAgeMs = 2000;
/** Weight of the newest load report in the mean utilization. */
const utilizationSmoothingFactor = 0.3;
/** The mean loses half of its weight in this time, so that a member that was busy is tried again. */
const utilizationHalfLifeMs = 4000;
const latencySmoothingFactor = 0.1;
/** A member whose sidecar was busy counts as used more by this, so that others get what they have room for. */
const busyUtilization = 1;
const busyMs = 300;
/** A server whose start isn't known has left for good, or started again, after this time. */
const maxUnknownLeaveMs = 30_000;

export class MemberView {
	/**
	 * @param drainPlan - how instances stop; without it, one that stops gets no requests
	 * @example
	 * const view = MemberView.create(member, transport, distances.region);
	 */
	static create(
		member: Member,
		transport: MemberTransport,
		distance: Distance,
		drainPlan?: DrainPlan,
	): MemberView {
		return new MemberView(member, transport, distance, drainPlan);
	}

	/** Requests of this entry that are in progress. */
	inFlight = 0;
	/** Exponentially smoothed latency of complete answers; 0 before the first. */
	latencyMs = 0;

	/** Requests a second that the server takes, as its guard last reported; 0 without a limit. */
	limitPerSecond = 0;

	#load: GuardLoad | undefined;
	/** Exponentially smoothed utilization from the load reports. */
	#meanUtilization = 0;
	#loadAtMs = 0;
	/** Requests sent since the last load report. */
	#sentSinceLoad = 0;
	/** The start of the server that is leaving by its own word. */
	#serverLeave: {readonly startMs: number | undefined; readonly atMs: number} | undefined;
	#busyUntilMs = 0;
	#failureCount = 0;
	#backoffUntilMs = 0;

	#member: Member;
	#updatedAtMs = performance.now();

	private constructor(
		member: Member,
		readonly transport: MemberTransport,
		readonly distance: Distance,
		private readonly drainPlan: DrainPlan | undefined,
	) {
		this.#member = member;
	}

	get member(): Member {
		return this.#member;
	}

	/** Applies a newer announcement of the same server. */
	update(member: Member): void {
		this.#member = member;
		this.#updatedAtMs = performance.now();
	}

	/**
	 * Whether requests may be sent to the member now.
	 *
	 * @param boundMs - time within which the request is answered in any case
	 */
	isAvailable(nowMs: number, boundMs = Number.POSITIVE_INFINITY): boolean {
		if (nowMs < this.#backoffUntilMs || this.#hasServerLeft(nowMs)) {
			return false;
		}

		switch (this.member.state) {
			case 'ready': {
				return true;
			}

			case 'leaving': {
				const {isDraining = false} = this.member;
				const elapsedMs = nowMs - this.#updatedAtMs;
				return isDraining && this.drainPlan?.canFinish(elapsedMs, boundMs) === true;
			}

			case 'down': {
				return false;
			}
		}
	}

	/** Estimates the utilization of the member's slots with one more request; above 1, requests wait. */
	estimateUtilization(nowMs: number): number {
		const busyCost = nowMs < this.#busyUntilMs ? busyUtilization : 0;
		return this.#estimateSlotUtilization(nowMs) + busyCost;
	}

	/** Whether the server names a limit, as far as known. */
	hasLimit(): boolean {
		return this.transport.kind === 'local'
			? this.transport.readLoad().pace.limit.kind === 'paced'
			: this.limitPerSecond > 0;
	}

	recordLoad(load: GuardLoad, nowMs: number): void {
		const utilization = (load.running + load.waiting) / Math.max(1, load.limit);
		this.#meanUtilization += (utilization - this.#meanUtilization) * utilizationSmoothingFactor;
		this.#load = load;
		this.#loadAtMs = nowMs;
		this.#sentSinceLoad = 0;
		this.#recordLimit(load.pace.limit);
	}

	recordSend(): void {
		this.inFlight++;
		this.#sentSinceLoad++;
	}

	recordEnd(): void {
		this.inFlight--;
	}

	recordAnswer(latencyMs: number): void {
		this.#failureCount = 0;
		this.latencyMs =
			this.latencyMs === 0
				? latencyMs
				: this.latencyMs + (latencyMs - this.latencyMs) * latencySmoothingFactor;
	}

	/**
	 * Records that the server said in an answer that it leaves. This start of it gets no more requests, even if its
	 * guard has restarted since and doesn't know.
	 */
	recordServerLeaving(nowMs: number): void {
		const startMs = this.member.serverStartMs;
		if (this.#serverLeave === undefined || this.#serverLeave.startMs !== startMs) {
			this.#serverLeave = {startMs, atMs: nowMs};
		}
	}

	/** Excludes the member for a time that grows with each failure in a row. */
	recordFailure(nowMs: number): void {
		this.#failureCount++;
		const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (this.#failureCount - 1));
		this.#backoffUntilMs = Math.max(this.#backoffUntilMs, nowMs + backoffMs);
	}

	/** Records a guard's refusal; only some show that the member can't take other requests either. */
	recordRefusal(reason: RefusalReason, wasReached: boolean, nowMs: number): void {
		if (!wasReached || reason === 'stopping' || reason === 'unreachable') {
			this.recordFailure(nowMs);
		} else if (reason === 'busy') {
			this.#busyUntilMs = nowMs + busyMs;
		}
	}

	/** Ends the backoff, for example after a new announcement. */
	resetFailures(): void {
		this.#failureCount = 0;
		this.#backoffUntilMs = 0;
	}

	#estimateSlotUtilization(nowMs: number): number {
		if (this.transport.kind === 'local') {
			const {running, waiting, limit, pace} = this.transport.readLoad();
			return Math.max((running + waiting + 1) / Math.max(1, limit), pace.fill);
		}

		const load = this.#load;
		const ageMs = nowMs - this.#loadAtMs;
		if (load === undefined || ageMs > loadMaxAgeMs) {
			const meanUtilization = this.#meanUtilization * 0.5 ** (ageMs / utilizationHalfLifeMs);
			const ownUtilization = this.inFlight / Math.max(1, this.member.slots);
			return Math.max(meanUtilization, ownUtilization) + 1 / Math.max(1, this.member.slots);
		}

		const busy = Math.max(this.inFlight, load.running + load.waiting + this.#sentSinceLoad);
		return Math.max(
			(busy + 1) / Math.max(1, load.limit),
			computePacedUse(load.pace, this.#sentSinceLoad, ageMs),
		);
	}

	#hasServerLeft(nowMs: number): boolean {
		if (this.#serverLeave === undefined) {
			return false;
		}

		const {startMs, atMs} = this.#serverLeave;
		const currentMs = this.member.serverStartMs;
		return startMs === undefined || currentMs === undefined
			? nowMs - atMs < maxUnknownLeaveMs
			: startMs === currentMs;
	}

	#recordLimit(limit: KnownLimit): void {
		switch (limit.kind) {
			case 'unknown': {
				// The guard has restarted, and learns the limit from the requests of its peers.
				break;
			}

			case 'none': {
				this.limitPerSecond = 0;
				break;
			}

			case 'paced': {
				this.limitPerSecond = limit.perSecond;
				break;
			}
		}
	}
}

/** Estimates how full the bucket of a server with a limit is, some time and some requests after a report. */
function computePacedUse({limit, fill}: GuardPace, sent: number, ageMs: number): number {
	if (limit.kind !== 'paced') {
		return 0;
	}

	const drained = (ageMs * limit.perSecond) / 1000;
	return Math.max(0, fill + (sent - drained) / computeBurst(limit.perSecond));
}
