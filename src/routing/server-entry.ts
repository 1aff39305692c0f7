/**
 * Measurements, ejection state and availability of one server, as seen by this daemon.
 */
import {type Importance} from '../call/types.ts';
import {memberStates, type Member} from '../membership/types.ts';
import {LatencyEstimate} from './latency-estimate.ts';
import {SlowStart} from './slow-start.ts';
import {type AttemptResult} from './types.ts';

/** Ejection state of a server. */
export type EjectionState =
	| {readonly kind: 'active'}
	| {readonly kind: 'ejected'; readonly untilMs: number}
	/** The ejection has expired; one trial call at a time is sent until the first result. */
	| {readonly kind: 'trial'};

/** Latency of the servers of a service, to which one server is compared. */
export type PeerLatency = {
	/** Median over the servers of the mean relative latency; 0 until measured. */
	readonly medianRelative: number;
	/** Mean latency in milliseconds of the longest kind of call; 0 until measured. */
	readonly longestMeanMs: number;
};

/** Whether ejected, suspected and shedding servers are skipped or, if `relaxed`, accepted. */
export type Strictness = 'strict' | 'relaxed';

/** Weight of one result in the failure share. */
const failureSampleWeight = 0.2;
/** Time after a refusal for overload for which less important calls are not sent to the server. */
const refusalTtlMs = 500;
/** Time for which a reported load is used. */
const loadReportTtlMs = 1000;
/** Largest share by which a reported load may raise the cost. */
const maxReportedLoadCost = 0.5;
/** Cost added at a failure share of 1, as a multiple of the cost without failures. */
const failureCost = 20;
/** Added to every latency, so that calls in flight count before any latency is measured. */
const baseCost = 0.01;
const notEjected: EjectionState = {kind: 'active'};

/** State of one server in the routing table of this daemon. */
export class ServerEntry {
	/**
	 * @param slowStartAtMs - start of the slow start; undefined for one that ran before this daemon
	 * @example
	 * const entry = ServerEntry.create(member, undefined);
	 */
	static create(member: Member, slowStartAtMs: number | undefined): ServerEntry {
		return new ServerEntry(member, slowStartAtMs);
	}

	readonly latency = LatencyEstimate.create();
	readonly slowStart: SlowStart;
	ejection: EjectionState = notEjected;
	/** Number of consecutive ejections; determines the duration of the next one. */
	consecutiveEjections = 0;
	/** Time at which the latest ejection expired or will expire. */
	ejectedUntilMs = Number.NEGATIVE_INFINITY;
	/** Exponentially weighted share of failed attempts. */
	failureShare = 0;
	/** Number of consecutive answers that were much slower than the peers'. */
	consecutiveSlowAnswers = 0;
	/** Time at which the first of the consecutive slow attempts was sent. */
	firstSlowSentAtMs = 0;
	inFlight = 0;
	/** Bytes of the link budget reserved for the attempts in flight. */
	reservedBytes = 0;
	#member: Member;
	/** Time since which attempts have been in flight without any result. */
	#unansweredSinceMs = 0;
	/** Importance below which the server is assumed to refuse calls until `#refusedUntilMs`. */
	#refusedBelow: Importance = 0;
	#refusedUntilMs = Number.NEGATIVE_INFINITY;
	#reportedLoadCost = 0;
	#reportedLoadUntilMs = Number.NEGATIVE_INFINITY;
	/** Latest incarnation in which the server reported that it is draining. */
	#drainingIncarnation = -1;

	private constructor(member: Member, slowStartAtMs: number | undefined) {
		this.#member = member;
		this.slowStart = SlowStart.create(slowStartAtMs);
	}

	get member(): Member {
		return this.#member;
	}

	/** Whether the server accepts new calls: it is not draining, leaving or dead. */
	get isUsable(): boolean {
		const {state, incarnation} = this.#member;
		if (incarnation <= this.#drainingIncarnation) {
			return false;
		}

		return state !== memberStates.leaving && state !== memberStates.dead;
	}

	/** Whether the server is ejected or in its trial call. */
	get isEjected(): boolean {
		return this.ejection.kind !== 'active';
	}

	/**
	 * Updates the membership data of the same instance. Slow start restarts while the server is cold
	 * and when it stops being cold.
	 *
	 * @example
	 * entry.setMember(member, nowMs);
	 */
	setMember(member: Member, nowMs: number): void {
		if (member.state === memberStates.cold || this.#member.state === memberStates.cold) {
			this.slowStart.start(nowMs);
		}

		this.#member = member;
	}

	/**
	 * Returns whether a call may be sent to this server.
	 *
	 * @example
	 * if (entry.isAvailable(importance.normal, nowMs, 'strict')) { candidates += 1; }
	 */
	isAvailable(level: Importance, nowMs: number, strictness: Strictness): boolean {
		if (!this.isUsable) {
			return false;
		}

		if (strictness === 'relaxed') {
			return true;
		}

		if (this.#member.state === memberStates.suspect || this.isShedding(level, nowMs)) {
			return false;
		}

		return this.#isInRotation(nowMs);
	}

	/**
	 * Returns whether the server recently refused a call of this daemon and its admission level is
	 * above the given importance.
	 *
	 * @example
	 * entry.isShedding(importance.low, nowMs);
	 */
	isShedding(level: Importance, nowMs: number): boolean {
		return nowMs < this.#refusedUntilMs && level < this.#refusedBelow;
	}

	/**
	 * Computes the cost of one more call: expected relative latency times calls in flight, raised by
	 * the reported load and the failure share.
	 *
	 * @example
	 * const cheaper = a.computeCost(nowMs, peers) <= b.computeCost(nowMs, peers) ? a : b;
	 */
	computeCost(nowMs: number, peers: PeerLatency): number {
		const unanswered =
			peers.longestMeanMs > 0 ? this.computeUnansweredMs(nowMs) / peers.longestMeanMs : 0;
		const expected = Math.max(this.latency.readPeak(nowMs, peers.medianRelative), unanswered);
		const reportedLoad = nowMs < this.#reportedLoadUntilMs ? this.#reportedLoadCost : 0;
		const failures = 1 + failureCost * this.failureShare;
		return (expected + baseCost) * (this.inFlight + 1) * (1 + reportedLoad) * failures;
	}

	/**
	 * Computes for how long attempts have been in flight without any result. It is a lower bound of
	 * the age of the oldest attempt in flight.
	 *
	 * @example
	 * entry.computeUnansweredMs(nowMs);
	 */
	computeUnansweredMs(nowMs: number): number {
		return this.inFlight > 0 ? nowMs - this.#unansweredSinceMs : 0;
	}

	/**
	 * Records that an attempt has been sent. The first one after an ejection is the trial call.
	 *
	 * @example
	 * entry.recordStart(nowMs);
	 */
	recordStart(nowMs: number): void {
		if (this.ejection.kind === 'ejected' && nowMs >= this.ejection.untilMs) {
			this.ejection = {kind: 'trial'};
		}

		if (this.inFlight === 0) {
			this.#unansweredSinceMs = nowMs;
		}

		this.inFlight += 1;
	}

	/**
	 * Records the result of an attempt.
	 *
	 * @param latency - relative latency, as a multiple of the mean of the kind of call
	 * @example
	 * entry.recordResult(result, 1.2, nowMs);
	 */
	recordResult(result: AttemptResult, latency: number, nowMs: number): void {
		this.inFlight = Math.max(0, this.inFlight - 1);
		this.#recordReport(result, nowMs);
		switch (result.kind) {
			case 'answered': {
				this.#unansweredSinceMs = nowMs;
				this.latency.record(latency, nowMs);
				this.#recordFailure(0);
				return;
			}

			case 'refused': {
				this.#unansweredSinceMs = nowMs;
				return;
			}

			case 'failed':
			case 'unreachable': {
				this.#unansweredSinceMs = nowMs;
				this.#recordFailure(1);
				return;
			}

			case 'cancelled': {
				// The latency is only a lower bound, so it is recorded only if it is above the mean.
				if (latency > this.latency.mean && this.latency.samples > 0) {
					this.latency.record(latency, nowMs);
				}
			}
		}
	}

	/** Whether the ejection state allows another call now. */
	#isInRotation(nowMs: number): boolean {
		switch (this.ejection.kind) {
			case 'active': {
				return true;
			}

			case 'ejected': {
				return nowMs >= this.ejection.untilMs && this.inFlight === 0;
			}

			case 'trial': {
				return this.inFlight === 0;
			}
		}
	}

	#recordFailure(value: 0 | 1): void {
		this.failureShare += failureSampleWeight * (value - this.failureShare);
	}

	#recordReport(result: AttemptResult, nowMs: number): void {
		const {report} = result;
		if (report?.instanceId !== this.#member.instanceId) {
			return;
		}

		if (report.state === 'draining') {
			this.#drainingIncarnation = this.#member.incarnation;
		}

		if (result.kind === 'refused') {
			this.#refusedBelow = report.admissionLevel;
			this.#refusedUntilMs = nowMs + refusalTtlMs;
		} else if (report.admissionLevel < this.#refusedBelow) {
			this.#refusedBelow = report.admissionLevel;
		}

		const load = (report.slotsInUse + report.queued) / Math.max(1, report.slotLimit);
		this.#reportedLoadCost = maxReportedLoadCost * Math.min(1, Math.max(0, load));
		this.#reportedLoadUntilMs = nowMs + loadReportTtlMs;
	}
}
