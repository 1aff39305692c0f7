/**
 * Says how many requests may wait at present, and which one goes first when more do.
 */
import {importance, type Importance, type SizeClass} from '../call/types.ts';
import {type AdmissionPolicy} from '../policy/schema.ts';
import {type AdmissionQueue} from './admission-queue.ts';
import {type LaneRule} from './long-lane.ts';
import {OverloadDetector} from './overload-detector.ts';
import {type ServiceTimes} from './service-time-estimator.ts';
import {type WaitingRequest} from './tracked-request.ts';

/** By importance: important requests may wait longer, up to the bound of the queue and their deadline. */
const patience: Record<Importance, number> = {
	[importance.background]: 1,
	[importance.low]: 1,
	[importance.normal]: 1,
	[importance.high]: 4,
	[importance.critical]: Number.POSITIVE_INFINITY,
};

export type QueueCutParts = {
	readonly queue: AdmissionQueue;
	readonly lane: LaneRule;
	readonly times: ServiceTimes;
};

/** Cuts the queue of one guard to what overload and policy allow. */
export class QueueCut {
	/**
	 * @example
	 * const cut = QueueCut.create({queue, lane, times}, policy.admission);
	 */
	static create(parts: QueueCutParts, policy: AdmissionPolicy): QueueCut {
		return new QueueCut(parts, policy);
	}

	readonly #parts: QueueCutParts;
	readonly #short: OverloadDetector;
	readonly #long: OverloadDetector;
	#policy: AdmissionPolicy;
	#shortAllowed = Number.POSITIVE_INFINITY;
	#longAllowed = Number.POSITIVE_INFINITY;

	private constructor(parts: QueueCutParts, policy: AdmissionPolicy) {
		this.#parts = parts;
		this.#policy = policy;
		this.#short = OverloadDetector.create(policy.targetDelayMs);
		this.#long = OverloadDetector.create(policy.targetDelayMs);
	}

	applyPolicy(policy: AdmissionPolicy): void {
		this.#policy = policy;
		this.#short.setTarget(policy.targetDelayMs);
		this.#long.setTarget(policy.targetDelayMs);
	}

	/** Notes how many wait and updates what is allowed; call before `findVictim`. */
	update(slotLimit: number, nowMs: number): void {
		const {queue, lane} = this.#parts;
		const {maxQueued, longShare} = this.#policy;
		const maxLong = maxQueued * longShare;
		this.#shortAllowed = Math.min(
			maxQueued,
			this.#updateLine('short', queue.waitingShort, slotLimit, nowMs),
		);
		this.#longAllowed = Math.min(
			maxLong,
			this.#updateLine('long', queue.waitingLong, lane.longSlots, nowMs),
		);
	}

	/** Finds the next request to shed for overload, if more wait than may. */
	findVictim(): WaitingRequest | undefined {
		const {queue} = this.#parts;
		const least = queue.findLeastImportance();
		if (least === undefined) {
			return undefined;
		}

		if (queue.waitingShort > this.#shortAllowed * patience[least]) {
			return queue.findVictim('short');
		}

		// A long request goes only when no less important short one would have to go first.
		const isLongLeast = queue.findLeastLongImportance() === least;
		if (isLongLeast && queue.waitingLong > this.#longAllowed * patience[least]) {
			return queue.findVictim('long');
		}

		return queue.waiting > this.#policy.maxQueued ? queue.findVictim('short') : undefined;
	}

	/** Updates the detector of one line and computes how many may wait in it. */
	#updateLine(line: SizeClass, waiting: number, slots: number, nowMs: number): number {
		const detector = line === 'short' ? this.#short : this.#long;
		const allowed = detector.computeAllowed(slots, this.#parts.times.readMeanMs(line));
		detector.update(waiting, allowed, nowMs);
		return detector.isOverloaded ? allowed : Number.POSITIVE_INFINITY;
	}
}
