/**
 * Admission kinds without decisions: no limit at all, and first in, first out at fixed slots.
 */
import PQueue from 'p-queue';
import {importance, type SizeClass} from '../call/types.ts';
import {type ServicePolicy} from '../policy/schema.ts';
import {assertInvariant} from './errors.ts';
import {
	type Admission,
	type AdmissionReport,
	type AdmissionRequest,
	type AdmissionDecision,
	type MonotonicClock,
	type SlotResult,
} from './types.ts';
import {TrackedRequest} from './tracked-request.ts';

const sizeClass: SizeClass = 'short';

/** Admits requests in order of arrival, as many at a time as there are slots. */
export class FixedAdmissionController implements Admission {
	/**
	 * @param slots - reads the slots from a policy; infinite for no limit
	 * @example
	 * const admission = FixedAdmission.create(policy, clock, policy => policy.slotsPerServer);
	 */
	static create(
		policy: ServicePolicy,
		clock: MonotonicClock,
		readSlotCount: (policy: ServicePolicy) => number,
	): FixedAdmissionController {
		return new FixedAdmissionController(policy, clock, readSlotCount);
	}

	readonly #executor: PQueue;
	readonly #requests = new Map<string, TrackedRequest>();
	#sequence = 0;
	#slotsInUse = 0;

	private constructor(
		policy: ServicePolicy,
		private readonly clock: MonotonicClock,
		private readonly readSlots: (policy: ServicePolicy) => number,
	) {
		this.#executor = new PQueue({concurrency: readSlots(policy)});
	}

	async admit(request: AdmissionRequest): Promise<AdmissionDecision> {
		const id = request.attemptId;
		assertInvariant(!this.#requests.has(id), () => `attempt "${id}" admitted twice`);
		const waiting = TrackedRequest.create(
			request,
			sizeClass,
			this.#sequence++,
			this.clock.readNowMs(),
		);
		this.#requests.set(id, waiting);
		void this.#executor.add(async () => this.#run(waiting));
		return waiting.decision;
	}

	cancel(attemptId: string): void {
		const waiting = this.#requests.get(attemptId);
		if (waiting?.isWaiting) {
			this.#requests.delete(attemptId);
			waiting.shed('cancelled');
		}
	}

	release(attemptId: string, _result: SlotResult): void {
		const waiting = this.#requests.get(attemptId);
		assertInvariant(waiting !== undefined, () => `attempt "${attemptId}" holds no slot`);
		waiting.releaseSlot();
		this.#requests.delete(attemptId);
		this.#slotsInUse--;
	}

	applyPolicy(policy: ServicePolicy): void {
		this.#executor.concurrency = this.readSlots(policy);
	}

	readReport(): AdmissionReport {
		return {
			admissionLevel: importance.background,
			slotsInUse: this.#slotsInUse,
			slotLimit: this.#executor.concurrency,
			queued: this.#requests.size - this.#slotsInUse,
		};
	}

	async #run(waiting: TrackedRequest): Promise<void> {
		if (!waiting.isWaiting) {
			return;
		}

		this.#slotsInUse++;
		return waiting.acquireSlot();
	}
}
