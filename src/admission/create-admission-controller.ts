/**
 * Creates the admission controller for the kind given in a policy, and replaces it when the kind changes.
 */
import {type ServicePolicy} from '../policy/schema.ts';
import {AdaptiveAdmissionController} from './adaptive-admission-controller.ts';
import {FixedAdmissionController} from './fixed-admission-controller.ts';
import {
	type AdmissionController,
	type AdmissionReport,
	type AdmissionRequest,
	type AdmissionDecision,
	type MonotonicClock,
	type SlotResult,
} from './types.ts';

/** Creates an admission controller of the kind given in a policy. */
function createController(policy: ServicePolicy, clock: MonotonicClock): AdmissionController {
	const {kind} = policy.admission;
	switch (kind) {
		case 'adaptive': {
			return AdaptiveAdmissionController.create(policy, clock);
		}

		case 'fixed': {
			return FixedAdmissionController.create(policy, clock, ({slotsPerServer}) => slotsPerServer);
		}

		case 'none': {
			return FixedAdmissionController.create(policy, clock, () => Number.POSITIVE_INFINITY);
		}
	}
}

/**
 * Delegates to a controller of the current kind.
 *
 * When a policy changes the kind, requests already submitted stay with their controller until they end.
 */
class PolicyAdmissionController implements AdmissionController {
	static create(policy: ServicePolicy, clock: MonotonicClock): PolicyAdmissionController {
		return new PolicyAdmissionController(policy, clock);
	}

	readonly #clock: MonotonicClock;
	#kind: ServicePolicy['admission']['kind'];
	#current: AdmissionController;
	/** Controller by attempt id, for attempts submitted before the last change of the kind. */
	readonly #previousControllers = new Map<string, AdmissionController>();
	readonly #activeAttempts = new Set<string>();

	private constructor(policy: ServicePolicy, clock: MonotonicClock) {
		this.#clock = clock;
		this.#kind = policy.admission.kind;
		this.#current = createController(policy, clock);
	}

	async admit(request: AdmissionRequest): Promise<AdmissionDecision> {
		const id = request.attemptId;
		const controller = this.#current;
		const pendingDecision = controller.admit(request);
		this.#activeAttempts.add(id);
		const decision = await pendingDecision;
		if (decision.kind === 'shed') {
			this.#removeAttempt(id);
		}

		return decision;
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

	#findController(attemptId: string): AdmissionController {
		return this.#previousControllers.get(attemptId) ?? this.#current;
	}

	#removeAttempt(attemptId: string): void {
		this.#activeAttempts.delete(attemptId);
		this.#previousControllers.delete(attemptId);
	}
}

/**
 * Creates the admission controller of one guard.
 *
 * @example
 * const controller = createAdmissionController(policy, {readNowMs: () => performance.now()});
 */
export function createAdmissionController(
	policy: ServicePolicy,
	clock: MonotonicClock,
): AdmissionController {
	return PolicyAdmissionController.create(policy, clock);
}
