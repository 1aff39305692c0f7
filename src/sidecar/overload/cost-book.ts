/**
 * What one request of a route costs at each service, its calls included.
 *
 * Each guard knows its own server's part and adds the costs of the calls, which it learnt from the
 * answers to them. The sum rides back on answers, so that costs travel up the call trees hop by hop.
 */

/** Time in a slot, in milliseconds, by service. */
export type CostVector = ReadonlyMap<string, number>;

/** Smoothing of the time at the own server, per request. */
const ownWeight = 0.05;
/** Entries of a vector below this are left out; they can't fill a server. */
const minCostMs = 1;
/** Chains are at most this deep; more services in one vector come from a loop. */
const maxServices = 12;

export class CostBook {
	/**
	 * @example
	 * const book = CostBook.create();
	 * book.learn('r-orders', 'catalogue', new Map([['catalogue', 80], ['commandes', 88]]));
	 */
	static create(): CostBook {
		return new CostBook();
	}

	/** By route and the service that runs it. */
	readonly #learnt = new Map<string, CostVector>();
	/** By route alone: of the part of a split route that was learnt last. */
	readonly #byRoute = new Map<string, CostVector>();
	/** Time in a slot of the own server, by route. */
	readonly #own = new Map<string, number>();

	private constructor() {}

	/** Takes the costs of a route that an answer of a service told. */
	learn(route: string, service: string, costs: CostVector): void {
		this.#learnt.set(`${route} ${service}`, costs);
		this.#byRoute.set(route, costs);
	}

	/** Costs of a route at a service as far as they are known; undefined before the first answer. */
	read(route: string, service: string): CostVector | undefined {
		return this.#learnt.get(`${route} ${service}`);
	}

	/** Counts the time that a request held a slot of the own server. */
	recordOwn(route: string, ranMs: number): void {
		const known = this.#own.get(route);
		this.#own.set(route, known === undefined ? ranMs : known + (ranMs - known) * ownWeight);
	}

	/** Adds up the costs of a route that the own server runs. */
	compute(route: string, service: string, calls: ReadonlyMap<string, number>): CostVector {
		const costs = new Map<string, number>([[service, this.#own.get(route) ?? 0]]);
		for (const [callRoute, ratio] of calls) {
			for (const [callService, cost] of this.#byRoute.get(callRoute) ?? []) {
				const sum = (costs.get(callService) ?? 0) + ratio * cost;
				if (sum >= minCostMs && (costs.has(callService) || costs.size < maxServices)) {
					costs.set(callService, sum);
				}
			}
		}

		return costs;
	}
}
