/**
 * What one request of a route costs at each service, its calls included.
 *
 * Each guard knows its own server's part and adds the costs of the calls, which it learnt from the
 * answers to them. The sum rides back on answers, so that costs travel up the call trees hop by hop.
 */

/** What one request costs one service. */
export type Cost = {
	/** Time in a slot, in milliseconds. */
	readonly slotMs: number;
	/** Requests at the service. */
	readonly calls: number;
};

/** Costs by service. */
export type CostVector = ReadonlyMap<string, Cost>;

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
	 * book.learn('r-orders', 'catalogue', new Map([['catalogue', {slotMs: 80, calls: 1}]]));
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

	private constructor() {
		// Made by `create`.
	}

	/** Takes the costs of a route that an answer of a service told. */
	learn(route: string, service: string, costs: CostVector): void {
		this.#learnt.set(`${route} ${service}`, costs);
		this.#byRoute.set(route, costs);
	}

	/** Costs of a route at a service as far as they are known; undefined before the first answer. */
	read(route: string, service: string): CostVector | undefined {
		return this.#learnt.get(`${route} ${service}`);
	}

	/** Time in a slot of the service that runs a route, in milliseconds; 0 while it is not known. */
	readOwn(route: string, service: string): number {
		return this.read(route, service)?.get(service)?.slotMs ?? 0;
	}

	/** Whether a route is known to make no calls. */
	isLeaf(route: string, service: string): boolean {
		return this.read(route, service)?.size === 1;
	}

	/** Counts the time that a request held a slot of the own server. */
	recordOwn(route: string, ranMs: number): void {
		const known = this.#own.get(route);
		this.#own.set(route, known === undefined ? ranMs : known + (ranMs - known) * ownWeight);
	}

	/** Adds up the costs of a route that the own server runs. */
	compute(route: string, service: string, calls: ReadonlyMap<string, number>): CostVector {
		const costs = new Map<string, Cost>([[service, {slotMs: this.#own.get(route) ?? 0, calls: 1}]]);
		for (const [callRoute, ratio] of calls) {
			for (const [callService, cost] of this.#byRoute.get(callRoute) ?? []) {
				const known = costs.get(callService);
				const slotMs = (known?.slotMs ?? 0) + ratio * cost.slotMs;
				const calls = (known?.calls ?? 0) + ratio * cost.calls;
				if (slotMs >= minCostMs && (known !== undefined || costs.size < maxServices)) {
					costs.set(callService, {slotMs, calls});
				}
			}
		}

		return costs;
	}
}
