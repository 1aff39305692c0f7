/**
 * What an entry knows of the load that its calls meet: early shedding, and whether more attempts would do harm.
 */
import {EarlyShedder, type LoadOutcome} from '../../admission/early-shedder.ts';
import {type Policy} from '../../policy/schema.ts';
import {readMonotonicMs} from '../clock.ts';
import {type CallOrigin} from './call-origin.ts';
import {type ClassifiedCall} from './classify-call.ts';

/** Watches the services whose guards shed by importance. */
export class LoadWatch {
	/**
	 * @example
	 * const load = LoadWatch.create(policy);
	 */
	static create(policy: Policy): LoadWatch {
		return new LoadWatch(policy);
	}

	readonly #shedder = EarlyShedder.create(Math.random);
	#services: ReadonlySet<string>;

	private constructor(policy: Policy) {
		this.#services = listAdaptiveServices(policy);
	}

	applyPolicy(policy: Policy): void {
		this.#services = listAdaptiveServices(policy);
	}

	/** Whether the call would be shed further down; child calls are left to guards, since work was spent on them. */
	isShedEarly(call: ClassifiedCall, origin: CallOrigin): boolean {
		return (
			origin.kind !== 'server' &&
			this.#services.has(call.context.service) &&
			this.#shedder.isShed(call.context, readMonotonicMs())
		);
	}

	/** Whether calls like this one are refused for overload at present. */
	isOverloaded(call: ClassifiedCall): boolean {
		return (
			this.#services.has(call.context.service) &&
			this.#shedder.isOverloaded(call.context, readMonotonicMs())
		);
	}

	/** Counts how a call ended that was sent, and tells a parent call of an overload. */
	recordOutcome(call: ClassifiedCall, origin: CallOrigin, outcome: LoadOutcome): void {
		if (this.#services.has(call.context.service)) {
			this.#shedder.recordOutcome(call.context, outcome, readMonotonicMs());
		}

		if (outcome === 'overloaded' && origin.kind === 'server') {
			origin.parent.recordOverloadBelow();
		}
	}
}

/** Lists the services whose guards shed by importance; only for them entries shed early. */
function listAdaptiveServices(policy: Policy): ReadonlySet<string> {
	const names = new Set<string>();
	for (const service of policy.services) {
		if (service.admission.kind === 'adaptive') {
			names.add(service.name);
		}
	}

	return names;
}
