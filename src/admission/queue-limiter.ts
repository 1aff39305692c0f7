/**
 * Says how many requests may wait at present, and which one goes first when more do.
 */
import {importance, type Importance, type SizeClass} from '../call/types.ts';
import {type AdmissionPolicy} from '../policy/schema.ts';
import {type AdmissionQueue} from './admission-queue.ts';
import {type LaneRule} from './long-lane.ts';
import {OverloadDetector} from './overload-detector.ts';
import {type ServiceTimeEstimator} from './service-time-estimator.ts';
import {type TrackedRequest} from './tracked-request.ts';

/** By importance: important requests may wait longer, up to the bound of the queue and their deadline. */
const queueLengthFactors: Record<Importance, number> = {
	[importance.background]: 1,
	[importance.low]: 1,
	[importance.normal]: 1,
	[importance.high]: 4,
	[importance.critical]: Number.POSITIVE_INFINITY,
};

export type QueueLimiterOptions = {
	readonly queue: AdmissionQueue;
	readonly slotAllocator: LaneRule;
	readonly serviceTimes: ServiceTimeEstimator;
};

/** Cuts the queue of one guard to what overload and policy allow. */
export class QueueLimiter {
	/**
	 * @example
	 * const cut = QueueCut.create({queue, lane, times}, policy.admission);
	 */
	static create(parts: QueueLimiterOptions, policy: AdmissionPolicy): QueueLimiter {
		return new QueueLimiter(parts, policy);
	}

	readonly #options: QueueLimiterOptions;
	readonly #shortDetector: OverloadDetector;
	readonly #longDetector: OverloadDetector;
	#policy: AdmissionPolicy;
	#maxWaitingShort = Number.POSITIVE_INFINITY;
	#maxWaitingLong = Number.POSITIVE_INFINITY;

	private constructor(parts: QueueLimiterOptions, policy: AdmissionPolicy) {
		this.#options = parts;
		this.#policy = policy;
		this.#shortDetector = OverloadDetector.create(policy.targetDelayMs);
		this.#longDetector = OverloadDetector.create(policy.targetDelayMs);
	}

	applyPolicy(policy: AdmissionPolicy): void {
		this.#policy = policy;
		this.#shortDetector.setTargetDelay(policy.targetDelayMs);
		this.#longDetector.setTargetDelay(policy.targetDelayMs);
	}

	/** Notes how many wait and updates what is allowed; call before `findVictim`. */
	update(slotLimit: number, nowMs: number): void {
		const {queue, slotAllocator: lane} = this.#options;
		const {maxQueued, longShare} = this.#policy;
		const maxLong = maxQueued * longShare;
		this.#maxWaitingShort = Math.min(
			maxQueued,
			this.#updateSizeClass('short', queue.waitingShortCount, slotLimit, nowMs),
		);
		this.#maxWaitingLong = Math.min(
			maxLong,
			this.#updateSizeClass('long', queue.waitingLongCount, lane.longSlots, nowMs),
		);
	}

	/** Finds the next request to shed for overload, if more wait than may. */
	findRequestToShed(): TrackedRequest | undefined {
		const {queue} = this.#options;
		const least = queue.findLeastImportance();
		if (least === undefined) {
			return undefined;
		}

		if (queue.waitingShortCount > this.#maxWaitingShort * queueLengthFactors[least]) {
			return queue.findRequestToShed('short');
		}

		// A long request goes only when no less important short one would have to go first.
		const isLongLeast = queue.findLeastLongImportance() === least;
		if (isLongLeast && queue.waitingLongCount > this.#maxWaitingLong * queueLengthFactors[least]) {
			return queue.findRequestToShed('long');
		}

		return queue.waitingCount > this.#policy.maxQueued
			? queue.findRequestToShed('short')
			: undefined;
	}

	/** Updates the detector of one line and computes how many may wait in it. */
	#updateSizeClass(line: SizeClass, waiting: number, slots: number, nowMs: number): number {
		const detector = line === 'short' ? this.#shortDetector : this.#longDetector;
		const allowed = detector.computeMaxWaiting(slots, this.#options.serviceTimes.readMeanMs(line));
		detector.update(waiting, allowed, nowMs);
		return detector.isOverloaded ? allowed : Number.POSITIVE_INFINITY;
	}
}
