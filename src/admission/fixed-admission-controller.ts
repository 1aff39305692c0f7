/**
 * First-in, first-out admission with a fixed number of slots, or without a limit.
 */
import PQueue from 'p-queue';
import {importance, type SizeClass} from '../call/types.ts';
import {type ServicePolicy} from '../policy/schema.ts';
import {assertInvariant} from './errors.ts';
import {
	type AdmissionController,
	type AdmissionReport,
	type AdmissionRequest,
	type AdmissionDecision,
	type MonotonicClock,
	type SlotResult,
} from './types.ts';
import {TrackedRequest} from './tracked-request.ts';

/** Size classes have no effect here; all requests are recorded under this one. */
const sizeClass: SizeClass = 'short';

/** Admits requests in order of arrival and never sheds for overload or deadline. */
export class FixedAdmissionController implements AdmissionController {
	/**
	 * @param readSlotCount - returns the number of slots that a policy allows; infinite for no limit
	 * @example
	 * const controller = FixedAdmissionController.create(policy, clock, policy => policy.slotsPerServer);
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
		private readonly readSlotCount: (policy: ServicePolicy) => number,
	) {
		this.#executor = new PQueue({concurrency: readSlotCount(policy)});
	}

	async admit(request: AdmissionRequest): Promise<AdmissionDecision> {
		const id = request.attemptId;
		assertInvariant(!this.#requests.has(id), () => `attempt "${id}" admitted twice`);
		const tracked = TrackedRequest.create(
			request,
			sizeClass,
			this.#sequence++,
			this.clock.readNowMs(),
		);
		this.#requests.set(id, tracked);
		void this.#executor.add(async () => this.#run(tracked));
		return tracked.decision;
	}

	cancel(attemptId: string): void {
		const tracked = this.#requests.get(attemptId);
		if (tracked?.isWaiting) {
			this.#requests.delete(attemptId);
			tracked.shed('cancelled');
		}
	}

	release(attemptId: string, _result: SlotResult): void {
		const tracked = this.#requests.get(attemptId);
		assertInvariant(tracked !== undefined, () => `attempt "${attemptId}" holds no slot`);
		tracked.releaseSlot();
		this.#requests.delete(attemptId);
		this.#slotsInUse--;
	}

	applyPolicy(policy: ServicePolicy): void {
		this.#executor.concurrency = this.readSlotCount(policy);
	}

	readReport(): AdmissionReport {
		return {
			admissionLevel: importance.background,
			slotsInUse: this.#slotsInUse,
			slotLimit: this.#executor.concurrency,
			queued: this.#requests.size - this.#slotsInUse,
		};
	}

	async #run(tracked: TrackedRequest): Promise<void> {
		if (!tracked.isWaiting) {
			return;
		}

		this.#slotsInUse++;
		return tracked.acquireSlot();
	}
}
