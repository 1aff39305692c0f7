/**
 * Makes the admission control that a policy names.
 */
import {type ServicePolicy} from '../policy/schema.ts';
import {AdaptiveAdmission} from './adaptive-admission.ts';
import {FixedAdmission} from './fixed-admission.ts';
import {type Admission, type MonotonicClock} from './types.ts';

/**
 * Creates admission control for one guard. A policy of another kind needs a new one.
 *
 * @example
 * const admission = createAdmission(policy, {readNowMs: () => performance.now()});
 */
export function createAdmission(policy: ServicePolicy, clock: MonotonicClock): Admission {
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
