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
	type AdmissionVerdict,
	type MonotonicClock,
	type SlotResult,
} from './types.ts';
import {WaitingRequest} from './tracked-request.ts';

const sizeClass: SizeClass = 'short';

/** Admits requests in order of arrival, as many at a time as there are slots. */
export class FixedAdmission implements Admission {
	/**
	 * @param slots - reads the slots from a policy; infinite for no limit
	 * @example
	 * const admission = FixedAdmission.create(policy, clock, policy => policy.slotsPerServer);
	 */
	static create(
		policy: ServicePolicy,
		clock: MonotonicClock,
		readSlots: (policy: ServicePolicy) => number,
	): FixedAdmission {
		return new FixedAdmission(policy, clock, readSlots);
	}

	readonly #queue: PQueue;
	readonly #requests = new Map<string, WaitingRequest>();
	#sequence = 0;
	#slotsInUse = 0;

	private constructor(
		policy: ServicePolicy,
		private readonly clock: MonotonicClock,
		private readonly readSlots: (policy: ServicePolicy) => number,
	) {
		this.#queue = new PQueue({concurrency: readSlots(policy)});
	}

	async admit(request: AdmissionRequest): Promise<AdmissionVerdict> {
		const id = request.attemptId;
		assertInvariant(!this.#requests.has(id), () => `attempt "${id}" admitted twice`);
		const waiting = WaitingRequest.create(
			request,
			sizeClass,
			this.#sequence++,
			this.clock.readNowMs(),
		);
		this.#requests.set(id, waiting);
		void this.#queue.add(async () => this.#start(waiting));
		return waiting.verdict;
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
		this.#queue.concurrency = this.readSlots(policy);
	}

	readReport(): AdmissionReport {
		return {
			admissionLevel: importance.background,
			slotsInUse: this.#slotsInUse,
			slotLimit: this.#queue.concurrency,
			queued: this.#requests.size - this.#slotsInUse,
		};
	}

	async #start(waiting: WaitingRequest): Promise<void> {
		if (!waiting.isWaiting) {
			return;
		}

		this.#slotsInUse++;
		return waiting.startSlot();
	}
}
