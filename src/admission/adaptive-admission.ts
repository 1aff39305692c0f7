/**
 * Admission by importance, deadline and size class, within a limit that adapts to measured latency.
 */
import PQueue from 'p-queue';
import {type SizeClass} from '../call/types.ts';
import {type ServicePolicy} from '../policy/schema.ts';
import {AdaptiveLimit, type ConcurrencyLimit} from './adaptive-limit.ts';
import {AdmissionLevel} from './admission-level.ts';
import {
	createQueueClass,
	type AdmissionQueue,
	type AdmissionQueueOptions,
} from './admission-queue.ts';
import {assertInvariant} from './errors.ts';
import {LongLane, type LaneRule} from './long-lane.ts';
import {QueueCut} from './queue-limiter.ts';
import {ServiceTimes} from './service-time-estimator.ts';
import {
	type Admission,
	type AdmissionReport,
	type AdmissionRequest,
	type AdmissionVerdict,
	type MonotonicClock,
	type SlotResult,
} from './types.ts';
import {WaitingRequest} from './tracked-request.ts';

/** Parts of the admission control that can be replaced for a comparison. */
export type AdmissionParts = {
	readonly limit?: ConcurrencyLimit;
	readonly lane?: LaneRule;
};

/** Admission control of one guard under the policy kind `adaptive`. */
export class AdaptiveAdmission implements Admission {
	/**
	 * @param parts - replaces the concurrency limit or the rule for long requests
	 * @example
	 * const admission = AdaptiveAdmission.create(policy, {readNowMs: () => performance.now()});
	 */
	static create(
		policy: ServicePolicy,
		clock: MonotonicClock,
		parts: AdmissionParts = {},
	): AdaptiveAdmission {
		return new AdaptiveAdmission(policy, clock, parts);
	}

	#waiting!: AdmissionQueue;
	readonly #queue: PQueue<AdmissionQueue, AdmissionQueueOptions>;
	readonly #requests = new Map<string, WaitingRequest>();
	readonly #times = ServiceTimes.create();
	readonly #level = AdmissionLevel.create();
	readonly #limit: ConcurrencyLimit;
	readonly #lane: LaneRule;
	readonly #cut: QueueCut;
	#sequence = 0;

	private constructor(
		private policy: ServicePolicy,
		private readonly clock: MonotonicClock,
		replaced: AdmissionParts,
	) {
		const {slotsPerServer, admission} = policy;
		this.#limit = replaced.limit ?? AdaptiveLimit.create(slotsPerServer);
		this.#lane = replaced.lane ?? LongLane.create(slotsPerServer, admission.longShare);
		const queueClass = createQueueClass(this.#lane, queue => {
			this.#waiting = queue;
		});
		this.#queue = new PQueue({concurrency: slotsPerServer, queueClass});
		const parts = {queue: this.#waiting, lane: this.#lane, times: this.#times};
		this.#cut = QueueCut.create(parts, admission);
	}

	async admit(request: AdmissionRequest): Promise<AdmissionVerdict> {
		const id = request.attemptId;
		assertInvariant(!this.#requests.has(id), () => `attempt "${id}" admitted twice`);
		const nowMs = this.clock.readNowMs();
		this.#shedExpired(nowMs);
		this.#level.recordArrival(request.importance, nowMs);
		if (this.#isTooLate(request, nowMs)) {
			return {kind: 'shed', reason: 'deadline'};
		}

		const sizeClass = this.#readSizeClass(request);
		const waiting = WaitingRequest.create(request, sizeClass, this.#sequence++, nowMs);
		this.#requests.set(id, waiting);
		void this.#queue.add(async () => this.#start(waiting), {waiting});
		this.#updateBounds(nowMs);
		this.#shedOverload(nowMs);
		return waiting.verdict;
	}

	cancel(attemptId: string): void {
		const waiting = this.#requests.get(attemptId);
		if (waiting?.isWaiting) {
			this.#remove(waiting, 'cancelled');
			this.#startNext();
		}
	}

	release(attemptId: string, result: SlotResult): void {
		const waiting = this.#requests.get(attemptId);
		assertInvariant(waiting !== undefined, () => `attempt "${attemptId}" holds no slot`);
		const nowMs = this.clock.readNowMs();
		this.#recordResult(waiting, result, nowMs);
		waiting.releaseSlot();
		this.#requests.delete(attemptId);
		this.#lane.recordEnd(waiting.sizeClass);
		this.#shedExpired(nowMs);
		this.#updateBounds(nowMs);
	}

	applyPolicy(policy: ServicePolicy): void {
		this.policy = policy;
		this.#limit.setCeiling(policy.slotsPerServer);
		this.#cut.applyPolicy(policy.admission);
		const nowMs = this.clock.readNowMs();
		this.#updateBounds(nowMs);
		this.#shedOverload(nowMs);
	}

	readReport(): AdmissionReport {
		const nowMs = this.clock.readNowMs();
		this.#shedExpired(nowMs);
		return {
			admissionLevel: this.#level.read(nowMs),
			slotsInUse: this.#slotsInUse,
			slotLimit: this.#limit.limit,
			queued: this.#waiting.waiting,
		};
	}

	get #slotsInUse(): number {
		return this.#lane.shortInUse + this.#lane.longInUse;
	}

	/** Runs as a job of p-queue and ends when the slot is released, or at once when it is too late for one. */
	async #start(waiting: WaitingRequest): Promise<void> {
		if (this.#isTooLate(waiting.request, this.clock.readNowMs())) {
			this.#requests.delete(waiting.request.attemptId);
			waiting.shed('deadline');
			return;
		}

		this.#lane.recordStart(waiting.sizeClass);
		assertInvariant(
			this.#slotsInUse <= this.#limit.limit,
			() => `${this.#slotsInUse} slots in use of ${this.#limit.limit}`,
		);
		return waiting.startSlot();
	}

	#readSizeClass(request: AdmissionRequest): SizeClass {
		switch (request.sizeClass) {
			case 'short':
			case 'long': {
				return request.sizeClass;
			}

			case 'learned': {
				return this.#times.readSizeClass(request.callName);
			}
		}
	}

	#recordResult(waiting: WaitingRequest, result: SlotResult, nowMs: number): void {
		switch (result.kind) {
			case 'answered': {
				this.#recordServiceTime(waiting, result.serviceMs, nowMs);
				break;
			}

			case 'failed':
			case 'cancelled': {
				break;
			}
		}
	}

	#recordServiceTime(waiting: WaitingRequest, serviceMs: number, nowMs: number): void {
		const {callName} = waiting.request;
		this.#times.record(callName, waiting.sizeClass, serviceMs, nowMs);
		if (waiting.sizeClass === 'short') {
			const baseMs = this.#times.readBaseMs(callName);
			const isSaturated = this.#waiting.waiting > 0;
			this.#limit.record({serviceMs, baseMs, isSaturated}, nowMs);
		}
	}

	/** Puts the present limit in force and starts what may start. */
	#updateBounds(nowMs: number): void {
		this.#lane.recordShortDemand(this.#waiting.waitingShort, nowMs);
		this.#lane.setBounds(this.#limit.limit, this.policy.admission.longShare);
		this.#startNext();
	}

	/** Has p-queue start all requests that may start. */
	#startNext(): void {
		this.#queue.concurrency = this.#limit.limit;
	}

	#isTooLate(request: AdmissionRequest, nowMs: number): boolean {
		return nowMs + this.#times.estimateLeastMs(request.callName, nowMs) >= request.deadlineAtMs;
	}

	/** Sheds waiting requests that can no longer meet their deadline. */
	#shedExpired(nowMs: number): void {
		for (;;) {
			const late = this.#waiting.findLate(request => this.#isTooLate(request, nowMs));
			if (late === undefined) {
				return;
			}

			this.#remove(late, 'deadline');
		}
	}

	/** Sheds the newest of the least important while more wait than may. */
	#shedOverload(nowMs: number): void {
		this.#cut.update(this.#limit.limit, nowMs);
		for (;;) {
			const victim = this.#cut.findVictim();
			if (victim === undefined) {
				return;
			}

			this.#remove(victim, 'overload');
			this.#level.recordShed(victim.request.importance, nowMs);
			const least = this.#waiting.findLeastImportance();
			assertInvariant(
				least === undefined || least >= victim.request.importance,
				() => `importance ${victim.request.importance} shed while ${least} waits`,
			);
		}
	}

	#remove(waiting: WaitingRequest, reason: 'overload' | 'deadline' | 'cancelled'): void {
		assertInvariant(this.#waiting.remove(waiting), () => 'a waiting request is not in the queue');
		this.#requests.delete(waiting.request.attemptId);
		waiting.shed(reason);
	}
}
