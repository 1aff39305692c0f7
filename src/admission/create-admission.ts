/**
 * Makes the admission control that a policy names, and follows changes of its kind.
 */
import {type ServicePolicy} from '../policy/schema.ts';
import {AdaptiveAdmission} from './adaptive-admission.ts';
import {FixedAdmission} from './fixed-admission-controller.ts';
import {
	type Admission,
	type AdmissionReport,
	type AdmissionRequest,
	type AdmissionVerdict,
	type MonotonicClock,
	type SlotResult,
} from './types.ts';

/** Creates admission control of the kind that a policy names. */
function createKind(policy: ServicePolicy, clock: MonotonicClock): Admission {
	const {kind} = policy.admission;
	switch (kind) {
		case 'adaptive': {
			return AdaptiveAdmission.create(policy, clock);
		}

		case 'fixed': {
			return FixedAdmission.create(policy, clock, ({slotsPerServer}) => slotsPerServer);
		}

		case 'none': {
			return FixedAdmission.create(policy, clock, () => Number.POSITIVE_INFINITY);
		}
	}
}

/** Hands requests to the kind in force; those that an earlier kind took end there. */
class PolicyAdmission implements Admission {
	static create(policy: ServicePolicy, clock: MonotonicClock): PolicyAdmission {
		return new PolicyAdmission(policy, clock);
	}

	readonly #clock: MonotonicClock;
	#kind: ServicePolicy['admission']['kind'];
	#current: Admission;
	/** Earlier kinds by the attempts that they took. */
	readonly #earlier = new Map<string, Admission>();
	readonly #attempts = new Set<string>();

	private constructor(policy: ServicePolicy, clock: MonotonicClock) {
		this.#clock = clock;
		this.#kind = policy.admission.kind;
		this.#current = createKind(policy, clock);
	}

	async admit(request: AdmissionRequest): Promise<AdmissionVerdict> {
		const id = request.attemptId;
		const admission = this.#current;
		const verdict = admission.admit(request);
		this.#attempts.add(id);
		const settled = await verdict;
		if (settled.kind === 'shed') {
			this.#forget(id);
		}

		return settled;
	}

	cancel(attemptId: string): void {
		this.#find(attemptId).cancel(attemptId);
	}

	release(attemptId: string, result: SlotResult): void {
		this.#find(attemptId).release(attemptId, result);
		this.#forget(attemptId);
	}

	applyPolicy(policy: ServicePolicy): void {
		if (policy.admission.kind === this.#kind) {
			this.#current.applyPolicy(policy);
			return;
		}

		for (const id of this.#attempts) {
			if (!this.#earlier.has(id)) {
				this.#earlier.set(id, this.#current);
			}
		}

		this.#kind = policy.admission.kind;
		this.#current = createKind(policy, this.#clock);
	}

	readReport(): AdmissionReport {
		return this.#current.readReport();
	}

	#find(attemptId: string): Admission {
		return this.#earlier.get(attemptId) ?? this.#current;
	}

	#forget(attemptId: string): void {
		this.#attempts.delete(attemptId);
		this.#earlier.delete(attemptId);
	}
}

/**
 * Creates admission control for one guard.
 *
 * @example
 * const admission = createAdmission(policy, {readNowMs: () => performance.now()});
 */
export function createAdmission(policy: ServicePolicy, clock: MonotonicClock): Admission {
	return PolicyAdmission.create(policy, clock);
}
