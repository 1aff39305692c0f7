/**
 * Limits how many requests may wait, and chooses which one to shed when too many do.
 */
import {importance, type Importance, type SizeClass} from '../call/types.ts';
import {type AdmissionPolicy} from '../policy/schema.ts';
import {type AdmissionQueue} from './admission-queue.ts';
import {type SlotAllocator} from './slot-allocator.ts';
import {OverloadDetector} from './overload-detector.ts';
import {type ServiceTimeEstimator} from './service-time-estimator.ts';
import {type TrackedRequest} from './tracked-request.ts';

/**
 * Factor on the allowed queue length, by importance.
 *
 * Important requests may wait longer, up to the size limit of the queue and their deadline.
 */
const queueLengthFactors: Record<Importance, number> = {
	[importance.background]: 1,
	[importance.low]: 1,
	[importance.normal]: 1,
	[importance.high]: 4,
	[importance.critical]: Number.POSITIVE_INFINITY,
};

export type QueueLimiterOptions = {
	readonly queue: AdmissionQueue;
	readonly slotAllocator: SlotAllocator;
	readonly serviceTimes: ServiceTimeEstimator;
};

/** Limits the queue of one guard: by the policy, and more tightly during overload. */
export class QueueLimiter {
	/**
	 * @example
	 * const limiter = QueueLimiter.create({queue, slotAllocator, serviceTimes}, policy.admission);
	 */
	static create(options: QueueLimiterOptions, policy: AdmissionPolicy): QueueLimiter {
		return new QueueLimiter(options, policy);
	}

	readonly #options: QueueLimiterOptions;
	readonly #shortDetector: OverloadDetector;
	readonly #longDetector: OverloadDetector;
	#policy: AdmissionPolicy;
	#maxWaitingShort = Number.POSITIVE_INFINITY;
	#maxWaitingLong = Number.POSITIVE_INFINITY;

	private constructor(options: QueueLimiterOptions, policy: AdmissionPolicy) {
		this.#options = options;
		this.#policy = policy;
		this.#shortDetector = OverloadDetector.create(policy.targetDelayMs);
		this.#longDetector = OverloadDetector.create(policy.targetDelayMs);
	}

	applyPolicy(policy: AdmissionPolicy): void {
		this.#policy = policy;
		this.#shortDetector.setTargetDelay(policy.targetDelayMs);
		this.#longDetector.setTargetDelay(policy.targetDelayMs);
	}

	/** Updates the allowed queue lengths from the current queue; call it before `findRequestToShed`. */
	update(slotLimit: number, nowMs: number): void {
		const {queue, slotAllocator} = this.#options;
		const {maxQueued, longShare} = this.#policy;
		const maxQueuedLong = maxQueued * longShare;
		this.#maxWaitingShort = Math.min(
			maxQueued,
			this.#updateSizeClass('short', queue.waitingShortCount, slotLimit, nowMs),
		);
		this.#maxWaitingLong = Math.min(
			maxQueuedLong,
			this.#updateSizeClass('long', queue.waitingLongCount, slotAllocator.longSlots, nowMs),
		);
	}

	/** Finds the next request to shed for overload; undefined while the queue is within its limits. */
	findRequestToShed(): TrackedRequest | undefined {
		const {queue} = this.#options;
		const least = queue.findLeastImportance();
		if (least === undefined) {
			return undefined;
		}

		if (queue.waitingShortCount > this.#maxWaitingShort * queueLengthFactors[least]) {
			return queue.findRequestToShed('short');
		}

		// A long request is shed only if no waiting short request is less important.
		const isLongLeast = queue.findLeastLongImportance() === least;
		if (isLongLeast && queue.waitingLongCount > this.#maxWaitingLong * queueLengthFactors[least]) {
			return queue.findRequestToShed('long');
		}

		return queue.waitingCount > this.#policy.maxQueued
			? queue.findRequestToShed('short')
			: undefined;
	}

	/** Updates the overload detector of one size class and returns how many of its requests may wait. */
	#updateSizeClass(sizeClass: SizeClass, waiting: number, slots: number, nowMs: number): number {
		const detector = sizeClass === 'short' ? this.#shortDetector : this.#longDetector;
		const maxWaiting = detector.computeMaxWaiting(
			slots,
			this.#options.serviceTimes.readMeanMs(sizeClass),
		);
		detector.update(waiting, maxWaiting, nowMs);
		return detector.isOverloaded ? maxWaiting : Number.POSITIVE_INFINITY;
	}
}
