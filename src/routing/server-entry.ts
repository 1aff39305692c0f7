/**
 * What this daemon has measured of one server, and whether it may be chosen.
 */
import {type Importance} from '../call/types.ts';
import {memberStates, type Member} from '../membership/types.ts';
import {LatencyEstimate} from './latency-estimate.ts';
import {SlowStart} from './slow-start.ts';
import {type AttemptResult} from './types.ts';

/** Where a server stands with regard to ejection. */
export type EjectionState =
	| {readonly kind: 'in'}
	| {readonly kind: 'out'; readonly untilMs: number}
	/** Back on trial: one call at a time until its first result. */
	| {readonly kind: 'trial'};

/** What a service's servers usually take. */
export type UsualLatency = {
	/** Median of the servers, as a multiple of what a kind of call takes on average. */
	readonly relative: number;
	/** Mean in milliseconds of the longest kind of call; 0 until measured. */
	readonly longestMs: number;
};

/** How choosy a search for servers is. */
export type Strictness = 'strict' | 'relaxed';

const failureWeight = 0.2;
/** Time for which a refusal for overload keeps less important calls away. */
const shedMemoryMs = 500;
/** Time for which the load in a report counts. */
const hintMemoryMs = 1000;
/** Most that a load report may add to the cost, as a share of it. */
const maxHintCost = 0.5;
/** Cost added by failures, as a multiple at a failure share of 1. */
const failureCost = 20;
/** Added to every latency, so that calls in flight count before anything is measured. */
const smallestCost = 0.01;
const ejectionIn: EjectionState = {kind: 'in'};

/** Aggregate of one server as this daemon sees it. */
export class ServerEntry {
	/**
	 * @param warmUpFromMs - start of the slow start; undefined for a server that was there before us
	 * @example
	 * const entry = ServerEntry.create(member, undefined);
	 */
	static create(member: Member, warmUpFromMs: number | undefined): ServerEntry {
		return new ServerEntry(member, warmUpFromMs);
	}

	readonly latency = LatencyEstimate.create();
	readonly slowStart: SlowStart;
	ejection: EjectionState = ejectionIn;
	/** Ejections in a row; each lasts longer. */
	ejections = 0;
	/** When the last ejection ended or will end. */
	ejectedUntilMs = Number.NEGATIVE_INFINITY;
	failureShare = 0;
	/** Answers in a row that were much slower than the peers'. */
	slowAnswers = 0;
	/** When the first of them was sent. */
	slowSinceMs = 0;
	inFlight = 0;
	/** Bytes of the link budget that calls in flight have reserved. */
	reservedBytes = 0;
	#member: Member;
	/** Since when calls are in flight without any result. */
	#quietSinceMs = 0;
	#shedBelow: Importance = 0;
	#shedUntilMs = Number.NEGATIVE_INFINITY;
	#hintCost = 0;
	#hintUntilMs = Number.NEGATIVE_INFINITY;
	/** Incarnation at which an answer told that the server drains. */
	#drainingIncarnation = -1;

	private constructor(member: Member, warmUpFromMs: number | undefined) {
		this.#member = member;
		this.slowStart = SlowStart.create(warmUpFromMs);
	}

	get member(): Member {
		return this.#member;
	}

	/** Whether the server may get new work at all. */
	get isUsable(): boolean {
		const {state, incarnation} = this.#member;
		if (incarnation <= this.#drainingIncarnation) {
			return false;
		}

		return state !== memberStates.leaving && state !== memberStates.dead;
	}

	/** Whether the next call decides if an ejected server comes back. */
	get isOnTrial(): boolean {
		return this.ejection.kind !== 'in';
	}

	/**
	 * Takes over what membership says of the same instance.
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
	 * Tells whether a call may go to this server.
	 *
	 * @example
	 * if (entry.canTake(importance.normal, nowMs, 'strict')) { candidates += 1; }
	 */
	canTake(level: Importance, nowMs: number, strictness: Strictness): boolean {
		if (!this.isUsable) {
			return false;
		}

		if (strictness === 'relaxed') {
			return true;
		}

		if (this.#member.state === memberStates.suspect || this.isShedding(level, nowMs)) {
			return false;
		}

		return this.#isIn(nowMs);
	}

	/**
	 * Tells whether the server lately refused a call of ours that was at least as important.
	 *
	 * @example
	 * entry.isShedding(importance.low, nowMs);
	 */
	isShedding(level: Importance, nowMs: number): boolean {
		return nowMs < this.#shedUntilMs && level < this.#shedBelow;
	}

	/**
	 * Computes the cost of one more call: expected latency times calls in flight.
	 *
	 * @example
	 * const cheaper = a.computeCost(nowMs, usual) <= b.computeCost(nowMs, usual) ? a : b;
	 */
	computeCost(nowMs: number, usual: UsualLatency): number {
		const quiet = usual.longestMs > 0 ? this.computeQuietMs(nowMs) / usual.longestMs : 0;
		const expected = Math.max(this.latency.readPeak(nowMs, usual.relative), quiet);
		const hint = nowMs < this.#hintUntilMs ? this.#hintCost : 0;
		const failures = 1 + failureCost * this.failureShare;
		return (expected + smallestCost) * (this.inFlight + 1) * (1 + hint) * failures;
	}

	/**
	 * Computes for how long calls have been in flight without any result, a lower bound of the age
	 * of the oldest.
	 *
	 * @example
	 * entry.computeQuietMs(nowMs);
	 */
	computeQuietMs(nowMs: number): number {
		return this.inFlight > 0 ? nowMs - this.#quietSinceMs : 0;
	}

	/**
	 * Counts an attempt as in flight.
	 *
	 * @example
	 * entry.recordStart(nowMs);
	 */
	recordStart(nowMs: number): void {
		if (this.ejection.kind === 'out' && nowMs >= this.ejection.untilMs) {
			this.ejection = {kind: 'trial'};
		}

		if (this.inFlight === 0) {
			this.#quietSinceMs = nowMs;
		}

		this.inFlight += 1;
	}

	/**
	 * Takes in the end of an attempt.
	 *
	 * @param latency - as a multiple of what the kind of call usually takes
	 * @example
	 * entry.recordResult(result, 1.2, nowMs);
	 */
	recordResult(result: AttemptResult, latency: number, nowMs: number): void {
		this.inFlight = Math.max(0, this.inFlight - 1);
		this.#recordReport(result, nowMs);
		switch (result.kind) {
			case 'answered': {
				this.#quietSinceMs = nowMs;
				this.latency.record(latency, nowMs);
				this.#recordFailure(0);
				return;
			}

			case 'refused': {
				this.#quietSinceMs = nowMs;
				return;
			}

			case 'failed':
			case 'unreachable': {
				this.#quietSinceMs = nowMs;
				this.#recordFailure(1);
				return;
			}

			case 'cancelled': {
				// The latency is a lower bound, so it counts only when it is above the mean.
				if (latency > this.latency.mean && this.latency.samples > 0) {
					this.latency.record(latency, nowMs);
				}
			}
		}
	}

	#isIn(nowMs: number): boolean {
		switch (this.ejection.kind) {
			case 'in': {
				return true;
			}

			case 'out': {
				return nowMs >= this.ejection.untilMs && this.inFlight === 0;
			}

			case 'trial': {
				return this.inFlight === 0;
			}
		}
	}

	#recordFailure(value: 0 | 1): void {
		this.failureShare += failureWeight * (value - this.failureShare);
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
			this.#shedBelow = report.admissionLevel;
			this.#shedUntilMs = nowMs + shedMemoryMs;
		} else if (report.admissionLevel < this.#shedBelow) {
			this.#shedBelow = report.admissionLevel;
		}

		const load = (report.slotsInUse + report.queued) / Math.max(1, report.slotLimit);
		this.#hintCost = maxHintCost * Math.min(1, Math.max(0, load));
		this.#hintUntilMs = nowMs + hintMemoryMs;
	}
}
