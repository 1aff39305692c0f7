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
import {QueueLimiter} from './queue-limiter.ts';
import {ServiceTimeEstimator} from './service-time-estimator.ts';
import {
	type Admission,
	type AdmissionReport,
	type AdmissionRequest,
	type AdmissionDecision,
	type MonotonicClock,
	type SlotResult,
} from './types.ts';
import {TrackedRequest} from './tracked-request.ts';

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

	#waitingQueue!: AdmissionQueue;
	readonly #executor: PQueue<AdmissionQueue, AdmissionQueueOptions>;
	readonly #requests = new Map<string, TrackedRequest>();
	readonly #serviceTimes = ServiceTimeEstimator.create();
	readonly #level = AdmissionLevel.create();
	readonly #limit: ConcurrencyLimit;
	readonly #slotAllocator: LaneRule;
	readonly #queueLimiter: QueueLimiter;
	#sequence = 0;

	private constructor(
		private policy: ServicePolicy,
		private readonly clock: MonotonicClock,
		replaced: AdmissionParts,
	) {
		const {slotsPerServer, admission} = policy;
		this.#limit = replaced.limit ?? AdaptiveLimit.create(slotsPerServer);
		this.#slotAllocator = replaced.lane ?? LongLane.create(slotsPerServer, admission.longShare);
		const queueClass = createQueueClass(this.#slotAllocator, queue => {
			this.#waitingQueue = queue;
		});
		this.#executor = new PQueue({concurrency: slotsPerServer, queueClass});
		const parts = {
			queue: this.#waitingQueue,
			slotAllocator: this.#slotAllocator,
			serviceTimes: this.#serviceTimes,
		};
		this.#queueLimiter = QueueLimiter.create(parts, admission);
	}

	async admit(request: AdmissionRequest): Promise<AdmissionDecision> {
		const id = request.attemptId;
		assertInvariant(!this.#requests.has(id), () => `attempt "${id}" admitted twice`);
		const nowMs = this.clock.readNowMs();
		this.#shedLate(nowMs);
		this.#level.recordArrival(request.importance, nowMs);
		if (this.#willMissDeadline(request, nowMs)) {
			return {kind: 'shed', reason: 'deadline'};
		}

		const sizeClass = this.#readSizeClass(request);
		const waiting = TrackedRequest.create(request, sizeClass, this.#sequence++, nowMs);
		this.#requests.set(id, waiting);
		void this.#executor.add(async () => this.#run(waiting), {trackedRequest: waiting});
		this.#applyLimits(nowMs);
		this.#shedOverload(nowMs);
		return waiting.decision;
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
		this.#slotAllocator.recordEnd(waiting.sizeClass);
		this.#shedLate(nowMs);
		this.#applyLimits(nowMs);
	}

	applyPolicy(policy: ServicePolicy): void {
		this.policy = policy;
		this.#limit.setCeiling(policy.slotsPerServer);
		this.#queueLimiter.applyPolicy(policy.admission);
		const nowMs = this.clock.readNowMs();
		this.#applyLimits(nowMs);
		this.#shedOverload(nowMs);
	}

	readReport(): AdmissionReport {
		const nowMs = this.clock.readNowMs();
		this.#shedLate(nowMs);
		return {
			admissionLevel: this.#level.read(nowMs),
			slotsInUse: this.#slotsInUse,
			slotLimit: this.#limit.limit,
			queued: this.#waitingQueue.waitingCount,
		};
	}

	get #slotsInUse(): number {
		return this.#slotAllocator.shortInUse + this.#slotAllocator.longInUse;
	}

	/** Runs as a job of p-queue and ends when the slot is released, or at once when it is too late for one. */
	async #run(waiting: TrackedRequest): Promise<void> {
		if (this.#willMissDeadline(waiting.request, this.clock.readNowMs())) {
			this.#requests.delete(waiting.request.attemptId);
			waiting.shed('deadline');
			return;
		}

		this.#slotAllocator.recordStart(waiting.sizeClass);
		assertInvariant(
			this.#slotsInUse <= this.#limit.limit,
			() => `${this.#slotsInUse} slots in use of ${this.#limit.limit}`,
		);
		return waiting.acquireSlot();
	}

	#readSizeClass(request: AdmissionRequest): SizeClass {
		switch (request.sizeClass) {
			case 'short':
			case 'long': {
				return request.sizeClass;
			}

			case 'learned': {
				return this.#serviceTimes.readSizeClass(request.callName);
			}
		}
	}

	#recordResult(waiting: TrackedRequest, result: SlotResult, nowMs: number): void {
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

	#recordServiceTime(waiting: TrackedRequest, serviceMs: number, nowMs: number): void {
		const {callName} = waiting.request;
		this.#serviceTimes.record(callName, waiting.sizeClass, serviceMs, nowMs);
		if (waiting.sizeClass === 'short') {
			const baseMs = this.#serviceTimes.readBaselineMs(callName);
			const isSaturated = this.#waitingQueue.waitingCount > 0;
			this.#limit.record({serviceMs, baseMs, isSaturated}, nowMs);
		}
	}

	/** Puts the present limit in force and starts what may start. */
	#applyLimits(nowMs: number): void {
		this.#slotAllocator.recordShortDemand(this.#waitingQueue.waitingShortCount, nowMs);
		this.#slotAllocator.setBounds(this.#limit.limit, this.policy.admission.longShare);
		this.#startNext();
	}

	/** Has p-queue start all requests that may start. */
	#startNext(): void {
		this.#executor.concurrency = this.#limit.limit;
	}

	#willMissDeadline(request: AdmissionRequest, nowMs: number): boolean {
		return nowMs + this.#serviceTimes.readMinMs(request.callName, nowMs) >= request.deadlineAtMs;
	}

	/** Sheds waiting requests that can no longer meet their deadline. */
	#shedLate(nowMs: number): void {
		for (;;) {
			const late = this.#waitingQueue.findLate(request => this.#willMissDeadline(request, nowMs));
			if (late === undefined) {
				return;
			}

			this.#remove(late, 'deadline');
		}
	}

	/** Sheds the newest of the least important while more wait than may. */
	#shedOverload(nowMs: number): void {
		this.#queueLimiter.update(this.#limit.limit, nowMs);
		for (;;) {
			const victim = this.#queueLimiter.findRequestToShed();
			if (victim === undefined) {
				return;
			}

			this.#remove(victim, 'overload');
			this.#level.recordShed(victim.request.importance, nowMs);
			const least = this.#waitingQueue.findLeastImportance();
			assertInvariant(
				least === undefined || least >= victim.request.importance,
				() => `importance ${victim.request.importance} shed while ${least} waits`,
			);
		}
	}

	#remove(waiting: TrackedRequest, reason: 'overload' | 'deadline' | 'cancelled'): void {
		assertInvariant(
			this.#waitingQueue.remove(waiting),
			() => 'a waiting request is not in the queue',
		);
		this.#requests.delete(waiting.request.attemptId);
		waiting.shed(reason);
	}
}
