/** One backend server as an entry sees it: its announcement, and what its own traffic tells. */
import {type GuardLoad} from '../link/messages.ts';
import {type LinkPool} from '../link/link-pool.ts';
import {type Member} from '../types.ts';

/** How near a member is, from the entry's own data centre outwards. */
export const distances = {dataCentre: 0, region: 1, far: 2} as const;
export type Distance = (typeof distances)[keyof typeof distances];

/** Where a request for a member goes. */
export type MemberWay =
	| {readonly kind: 'local'; readonly readLoad: () => GuardLoad}
	| {
			readonly kind: 'link';
			readonly pool: Pick<LinkPool, 'open' | 'resume' | 'sync' | 'closeIdleBefore'>;
	  };

/** First pause after a failure; doubled with each further one. */
const firstPauseMs = 400;
const maxPauseMs = 6000;
/** A load report that is older says little; the own requests in flight are all that counts then. */
const loadTrustMs = 2000;
const latencyWeight = 0.1;

export class MemberView {
	/**
	 * @example
	 * const view = MemberView.create(member, way, distances.region);
	 */
	static create(member: Member, way: MemberWay, distance: Distance): MemberView {
		return new MemberView(member, way, distance);
	}

	/** Requests of this entry that are under way. */
	inFlight = 0;
	/** Mean latency of whole answers, smoothed; 0 before the first. */
	latencyMs = 0;

	#load: GuardLoad | undefined;
	#loadAtMs = 0;
	/** Requests sent since the last load report. */
	#sentSince = 0;
	#failures = 0;
	#pausedUntilMs = 0;

	private constructor(
		public member: Member,
		readonly way: MemberWay,
		readonly distance: Distance,
	) {}

	/** Whether requests may be sent there now. */
	canTake(nowMs: number): boolean {
		return this.member.state === 'ready' && nowMs >= this.#pausedUntilMs;
	}

	/** Estimates the share of the member's slots in use; above 1 requests wait there. */
	estimateUse(nowMs: number): number {
		if (this.way.kind === 'local') {
			const {running, waiting, limit} = this.way.readLoad();
			return (running + waiting + 1) / Math.max(1, limit);
		}

		const load = this.#load;
		if (load === undefined || nowMs - this.#loadAtMs > loadTrustMs) {
			return (this.inFlight + 1) / Math.max(1, this.member.slots);
		}

		const busy = Math.max(this.inFlight, load.running + load.waiting + this.#sentSince);
		return (busy + 1) / Math.max(1, load.limit);
	}

	recordLoad(load: GuardLoad, nowMs: number): void {
		this.#load = load;
		this.#loadAtMs = nowMs;
		this.#sentSince = 0;
	}

	recordSend(): void {
		this.inFlight++;
		this.#sentSince++;
	}

	recordEnd(): void {
		this.inFlight--;
	}

	recordAnswer(latencyMs: number): void {
		this.#failures = 0;
		this.latencyMs =
			this.latencyMs === 0
				? latencyMs
				: this.latencyMs + (latencyMs - this.latencyMs) * latencyWeight;
	}

	/** Keeps requests away for a while that grows with each failure in a row. */
	recordFailure(nowMs: number): void {
		this.#failures++;
		const pauseMs = Math.min(maxPauseMs, firstPauseMs * 2 ** (this.#failures - 1));
		this.#pausedUntilMs = Math.max(this.#pausedUntilMs, nowMs + pauseMs);
	}

	/** Lets requests through again, as after a new announcement. */
	resetFailures(): void {
		this.#failures = 0;
		this.#pausedUntilMs = 0;
	}
}
