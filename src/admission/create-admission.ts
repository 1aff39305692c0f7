/**
 * Makes the admission control that a policy names, and follows changes of its kind.
 */
import {type ServicePolicy} from '../policy/schema.ts';
import {AdaptiveAdmission} from './adaptive-admission.ts';
import {FixedAdmissionController} from './fixed-admission-controller.ts';
import {
	type Admission,
	type AdmissionReport,
	type AdmissionRequest,
	type AdmissionDecision,
	type MonotonicClock,
	type SlotResult,
} from './types.ts';

/** Creates admission control of the kind that a policy names. */
function createController(policy: ServicePolicy, clock: MonotonicClock): Admission {
	const {kind} = policy.admission;
	switch (kind) {
		case 'adaptive': {
			return AdaptiveAdmission.create(policy, clock);
		}

		case 'fixed': {
			return FixedAdmissionController.create(policy, clock, ({slotsPerServer}) => slotsPerServer);
		}

		case 'none': {
			return FixedAdmissionController.create(policy, clock, () => Number.POSITIVE_INFINITY);
		}
	}
}

/** Hands requests to the kind in force; those that an earlier kind took end there. */
class PolicyAdmissionController implements Admission {
	static create(policy: ServicePolicy, clock: MonotonicClock): PolicyAdmissionController {
		return new PolicyAdmissionController(policy, clock);
	}

	readonly #clock: MonotonicClock;
	#kind: ServicePolicy['admission']['kind'];
	#current: Admission;
	/** Earlier kinds by the attempts that they took. */
	readonly #previousControllers = new Map<string, Admission>();
	readonly #activeAttempts = new Set<string>();

	private constructor(policy: ServicePolicy, clock: MonotonicClock) {
		this.#clock = clock;
		this.#kind = policy.admission.kind;
		this.#current = createController(policy, clock);
	}

	async admit(request: AdmissionRequest): Promise<AdmissionDecision> {
		const id = request.attemptId;
		const admission = this.#current;
		const verdict = admission.admit(request);
		this.#activeAttempts.add(id);
		const settled = await verdict;
		if (settled.kind === 'shed') {
			this.#removeAttempt(id);
		}

		return settled;
	}

	cancel(attemptId: string): void {
		this.#findController(attemptId).cancel(attemptId);
	}

	release(attemptId: string, result: SlotResult): void {
		this.#findController(attemptId).release(attemptId, result);
		this.#removeAttempt(attemptId);
	}

	applyPolicy(policy: ServicePolicy): void {
		if (policy.admission.kind === this.#kind) {
			this.#current.applyPolicy(policy);
			return;
		}

		for (const id of this.#activeAttempts) {
			if (!this.#previousControllers.has(id)) {
				this.#previousControllers.set(id, this.#current);
			}
		}

		this.#kind = policy.admission.kind;
		this.#current = createController(policy, this.#clock);
	}

	readReport(): AdmissionReport {
		return this.#current.readReport();
	}

	#findController(attemptId: string): Admission {
		return this.#previousControllers.get(attemptId) ?? this.#current;
	}

	#removeAttempt(attemptId: string): void {
		this.#activeAttempts.delete(attemptId);
		this.#previousControllers.delete(attemptId);
	}
}

/**
 * Creates admission control for one guard.
 *
 * @example
 * const admission = createAdmission(policy, {readNowMs: () => performance.now()});
 */
export function createAdmission(policy: ServicePolicy, clock: MonotonicClock): Admission {
	return PolicyAdmissionController.create(policy, clock);
}
