/**
 * Latency that each service and caller is promised, looked up once per call.
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
	 * Finds the promised latency in milliseconds: the caller's own objective, else that for all callers.
	 *
	 * @returns infinity where nothing is promised
	 * @example
	 * const isInTime = latencyMs <= objectives.findLatencyMs('commandes', 'retailer');
	 */
	findLatencyMs(service: string, caller: string): number {
		const byCaller = this.#byService.get(service);
		return byCaller?.get(caller) ?? byCaller?.get(anyCaller) ?? Number.POSITIVE_INFINITY;
	}
}
