/**
 * Admission by importance, deadline and size class, within a concurrency limit that adapts to measured latency.
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
import {ReservingSlotAllocator, type SlotAllocator} from './slot-allocator.ts';
import {QueueLimiter} from './queue-limiter.ts';
import {ServiceTimeEstimator} from './service-time-estimator.ts';
import {
	type AdmissionController,
	type AdmissionReport,
	type AdmissionRequest,
	type AdmissionDecision,
	type MonotonicClock,
	type SlotResult,
} from './types.ts';
import {TrackedRequest} from './tracked-request.ts';

/** Implementations that replace the default ones, so that benchmarks can compare them. */
export type AdmissionOverrides = {
	readonly limit?: ConcurrencyLimit;
	readonly slotAllocator?: SlotAllocator;
};

/** Admission controller of one guard for the policy kind `adaptive`. */
export class AdaptiveAdmissionController implements AdmissionController {
	/**
	 * @param overrides - replaces the concurrency limit or the allocation of slots to long requests
	 * @example
	 * const controller = AdaptiveAdmissionController.create(policy, {readNowMs: () => performance.now()});
	 */
	static create(
		policy: ServicePolicy,
		clock: MonotonicClock,
		overrides: AdmissionOverrides = {},
	): AdaptiveAdmissionController {
		return new AdaptiveAdmissionController(policy, clock, overrides);
	}

	#waitingQueue!: AdmissionQueue;
	readonly #executor: PQueue<AdmissionQueue, AdmissionQueueOptions>;
	readonly #requests = new Map<string, TrackedRequest>();
	readonly #serviceTimes = ServiceTimeEstimator.create();
	readonly #level = AdmissionLevel.create();
	readonly #limit: ConcurrencyLimit;
	readonly #slotAllocator: SlotAllocator;
	readonly #queueLimiter: QueueLimiter;
	#sequence = 0;

	private constructor(
		private policy: ServicePolicy,
		private readonly clock: MonotonicClock,
		overrides: AdmissionOverrides,
	) {
		const {slotsPerServer, admission} = policy;
		this.#limit = overrides.limit ?? AdaptiveLimit.create(slotsPerServer);
		this.#slotAllocator =
			overrides.slotAllocator ?? ReservingSlotAllocator.create(slotsPerServer, admission.longShare);
		const queueClass = createQueueClass(this.#slotAllocator, queue => {
			this.#waitingQueue = queue;
		});
		this.#executor = new PQueue({concurrency: slotsPerServer, queueClass});
		const options = {
			queue: this.#waitingQueue,
			slotAllocator: this.#slotAllocator,
			serviceTimes: this.#serviceTimes,
		};
		this.#queueLimiter = QueueLimiter.create(options, admission);
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
		const tracked = TrackedRequest.create(request, sizeClass, this.#sequence++, nowMs);
		this.#requests.set(id, tracked);
		void this.#executor.add(async () => this.#run(tracked), {trackedRequest: tracked});
		this.#applyLimits(nowMs);
		this.#shedOverload(nowMs);
		return tracked.decision;
	}

	cancel(attemptId: string): void {
		const tracked = this.#requests.get(attemptId);
		if (tracked?.isWaiting) {
			this.#remove(tracked, 'cancelled');
			this.#startNext();
		}
	}

	release(attemptId: string, result: SlotResult): void {
		const tracked = this.#requests.get(attemptId);
		assertInvariant(tracked !== undefined, () => `attempt "${attemptId}" holds no slot`);
		const nowMs = this.clock.readNowMs();
		this.#recordResult(tracked, result, nowMs);
		tracked.releaseSlot();
		this.#requests.delete(attemptId);
		this.#slotAllocator.recordEnd(tracked.sizeClass);
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

	/** Task run by p-queue; ends when the slot is released, or at once when the request would miss its deadline. */
	async #run(tracked: TrackedRequest): Promise<void> {
		if (this.#willMissDeadline(tracked.request, this.clock.readNowMs())) {
			this.#requests.delete(tracked.request.attemptId);
			tracked.shed('deadline');
			return;
		}

		this.#slotAllocator.recordStart(tracked.sizeClass);
		assertInvariant(
			this.#slotsInUse <= this.#limit.limit,
			() => `${this.#slotsInUse} slots in use of ${this.#limit.limit}`,
		);
		return tracked.acquireSlot();
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

	#recordResult(tracked: TrackedRequest, result: SlotResult, nowMs: number): void {
		switch (result.kind) {
			case 'answered': {
				this.#recordServiceTime(tracked, result.serviceMs, nowMs);
				break;
			}

			case 'failed':
			case 'cancelled': {
				break;
			}
		}
	}

	#recordServiceTime(tracked: TrackedRequest, serviceMs: number, nowMs: number): void {
		const {callName} = tracked.request;
		this.#serviceTimes.record(callName, tracked.sizeClass, serviceMs, nowMs);
		if (tracked.sizeClass === 'short') {
			const baseMs = this.#serviceTimes.readBaselineMs(callName);
			const isSaturated = this.#waitingQueue.waitingCount > 0;
			this.#limit.record({serviceMs, baseMs, isSaturated}, nowMs);
		}
	}

	/** Applies the current limit and starts the requests that it allows. */
	#applyLimits(nowMs: number): void {
		this.#slotAllocator.recordShortDemand(this.#waitingQueue.waitingShortCount, nowMs);
		this.#slotAllocator.setBounds(this.#limit.limit, this.policy.admission.longShare);
		this.#startNext();
	}

	/** Makes p-queue start all requests that are allowed to run: assigning `concurrency` processes its queue. */
	#startNext(): void {
		this.#executor.concurrency = this.#limit.limit;
	}

	#willMissDeadline(request: AdmissionRequest, nowMs: number): boolean {
		return nowMs + this.#serviceTimes.readMinMs(request.callName, nowMs) >= request.deadlineAtMs;
	}

	/** Sheds waiting requests whose estimated service time no longer fits before their deadline. */
	#shedLate(nowMs: number): void {
		for (;;) {
			const late = this.#waitingQueue.findLate(request => this.#willMissDeadline(request, nowMs));
			if (late === undefined) {
				return;
			}

			this.#remove(late, 'deadline');
		}
	}

	/** Sheds the newest of the least important requests until the queue is within its limits. */
	#shedOverload(nowMs: number): void {
		this.#queueLimiter.update(this.#limit.limit, nowMs);
		for (;;) {
			const candidate = this.#queueLimiter.findRequestToShed();
			if (candidate === undefined) {
				return;
			}

			this.#remove(candidate, 'overload');
			this.#level.recordShed(candidate.request.importance, nowMs);
			const least = this.#waitingQueue.findLeastImportance();
			assertInvariant(
				least === undefined || least >= candidate.request.importance,
				() => `importance ${candidate.request.importance} shed while ${least} waits`,
			);
		}
	}

	#remove(tracked: TrackedRequest, reason: 'overload' | 'deadline' | 'cancelled'): void {
		assertInvariant(
			this.#waitingQueue.remove(tracked),
			() => `waiting attempt "${tracked.request.attemptId}" is not in the queue`,
		);
		this.#requests.delete(tracked.request.attemptId);
		tracked.shed(reason);
	}
}
