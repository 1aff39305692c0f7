/**
 * Tracks the overload that the calls of an entry meet, for early shedding and to stop retries under overload.
 */
import {EarlyShedder, type LoadOutcome} from '../../admission/early-shedder.ts';
import {type Policy} from '../../policy/schema.ts';
import {readMonotonicMs} from '../clock.ts';
import {type CallOrigin} from './call-origin.ts';
import {type ClassifiedCall} from './classify-call.ts';

/** Tracks the services whose guards shed by importance (adaptive admission). */
export class OverloadTracker {
	/**
	 * @example
	 * const tracker = OverloadTracker.create(policy);
	 */
	static create(policy: Policy): OverloadTracker {
		return new OverloadTracker(policy);
	}

	readonly #shedder = EarlyShedder.create(Math.random);
	#services: ReadonlySet<string>;

	private constructor(policy: Policy) {
		this.#services = listAdaptiveServices(policy);
	}

	applyPolicy(policy: Policy): void {
		this.#services = listAdaptiveServices(policy);
	}

	/**
	 * Whether the call is shed at the entry because a guard would probably shed it. Child calls are left to the
	 * guards, since work has already been spent on their parent calls.
	 */
	shouldShedEarly(call: ClassifiedCall, origin: CallOrigin): boolean {
		return (
			origin.kind !== 'server' &&
			this.#services.has(call.context.service) &&
			this.#shedder.shouldShed(call.context, readMonotonicMs())
		);
	}

	/** Whether calls of this kind are currently refused for overload. */
	isOverloaded(call: ClassifiedCall): boolean {
		return (
			this.#services.has(call.context.service) &&
			this.#shedder.isOverloaded(call.context, readMonotonicMs())
		);
	}

	/** Records the outcome of a call that was sent; an overload is recorded at its parent call too. */
	recordOutcome(call: ClassifiedCall, origin: CallOrigin, outcome: LoadOutcome): void {
		if (this.#services.has(call.context.service)) {
			this.#shedder.recordOutcome(call.context, outcome, readMonotonicMs());
		}

		if (outcome === 'overloaded' && origin.kind === 'server') {
			origin.parent.recordOverloadBelow();
		}
	}
}

/** Lists the services with adaptive admission; entries shed early only for them. */
function listAdaptiveServices(policy: Policy): ReadonlySet<string> {
	const names = new Set<string>();
	for (const service of policy.services) {
		if (service.admission.kind === 'adaptive') {
			names.add(service.name);
		}
	}

	return names;
}
