/**
 * Lookup of the latency objective for a service and caller, used once per call.
 */
import {type Policy} from './schema.ts';

const anyCaller = '*';

/** Latency objectives of one policy document. */
export class LatencyObjectives {
	/**
	 * @example
	 * const objectives = LatencyObjectives.create(policy);
	 */
	static create(policy: Policy): LatencyObjectives {
		const byService = new Map<string, Map<string, number>>();
		for (const {service, caller, latencyMs} of policy.objectives) {
			const byCaller = byService.get(service) ?? new Map<string, number>();
			byCaller.set(caller, latencyMs);
			byService.set(service, byCaller);
		}

		return new LatencyObjectives(byService);
	}

	readonly #byService: ReadonlyMap<string, ReadonlyMap<string, number>>;

	private constructor(byService: ReadonlyMap<string, ReadonlyMap<string, number>>) {
		this.#byService = byService;
	}

	/**
	 * Finds the latency objective in milliseconds: that of the caller, else that for all callers.
	 *
	 * @returns infinity if there is no objective
	 * @example
	 * const isInTime = latencyMs <= objectives.findLatencyMs('commandes', 'retailer');
	 */
	findLatencyMs(service: string, caller: string): number {
		const byCaller = this.#byService.get(service);
		return byCaller?.get(caller) ?? byCaller?.get(anyCaller) ?? Number.POSITIVE_INFINITY;
	}
}
