/**
 * Stores the cost of one request of a route at each service, including its nested calls.
 *
 * A guard measures the cost at its local server and adds the costs of the nested calls, which come with
 * the replies to them. The sum is attached to its own replies, so costs propagate up the call tree hop by
 * hop.
 */

/** Cost of one request at one service. */
export type Cost = {
	/** Service time, during which a slot of the server is held, in milliseconds. */
	readonly slotMs: number;
	/** Requests at the service. */
	readonly calls: number;
};

/** Costs by service. */
export type CostVector = ReadonlyMap<string, Cost>;

/** Weight of the newest request in the moving average of the slot time at the local server. */
const slotTimeWeight = 0.05;
/** Nested calls that cost a service less slot time than this are left out; they can't overload it. */
const minCostMs = 1;
/** Call chains are at most this deep; a vector with more services comes from a call loop. */
const maxServices = 12;
/** Costs beyond these come from a call loop too, in which they grow with each report. */
const maxSlotMs = 600_000;
const maxCalls = 10_000;

export class CostTable {
	/**
	 * @example
	 * const costs = CostTable.create();
	 * costs.set('r-orders', 'catalogue', new Map([['catalogue', {slotMs: 80, calls: 1}]]));
	 */
	static create(): CostTable {
		return new CostTable();
	}

	/** Keyed by route and the service that runs it. */
	readonly #costsByRouteAndService = new Map<string, CostVector>();
	/** Keyed by route; for a route that is split over services, the latest costs of any of them. */
	readonly #latestCostsByRoute = new Map<string, CostVector>();
	/** Mean slot time at the local server in milliseconds, by route. */
	readonly #localSlotTimeMs = new Map<string, number>();

	private constructor() {
		// Instances are created with `create`.
	}

	/** Stores the costs of a route as reported in a reply of a service. */
	set(route: string, service: string, costs: CostVector): void {
		this.#costsByRouteAndService.set(`${route} ${service}`, costs);
		this.#latestCostsByRoute.set(route, costs);
	}

	/** Returns the known costs of a route at a service; undefined before the first report. */
	read(route: string, service: string): CostVector | undefined {
		return this.#costsByRouteAndService.get(`${route} ${service}`);
	}

	/** Returns the slot time at the service that runs a route, in milliseconds; 0 while unknown. */
	readSlotTimeMs(route: string, service: string): number {
		return this.read(route, service)?.get(service)?.slotMs ?? 0;
	}

	/** Whether a route is known to make no nested calls. */
	isLeaf(route: string, service: string): boolean {
		return this.read(route, service)?.size === 1;
	}

	/** Lists the routes that the local server has run. */
	listLocalRoutes(): Iterable<string> {
		return this.#localSlotTimeMs.keys();
	}

	/** Records how long a request held a slot of the local server. */
	recordLocalSlotTime(route: string, ranMs: number): void {
		const meanMs = this.#localSlotTimeMs.get(route);
		this.#localSlotTimeMs.set(
			route,
			meanMs === undefined ? ranMs : meanMs + (ranMs - meanMs) * slotTimeWeight,
		);
	}

	/**
	 * Computes the costs of a route that the local server runs, including nested calls.
	 *
	 * @param callRatios - nested calls per request, by the route of the calls
	 */
	computeTotal(
		route: string,
		service: string,
		callRatios: ReadonlyMap<string, number>,
	): CostVector {
		const costs = new Map<string, Cost>([
			[service, {slotMs: this.#localSlotTimeMs.get(route) ?? 0, calls: 1}],
		]);
		for (const [callRoute, ratio] of callRatios) {
			for (const [callService, cost] of this.#latestCostsByRoute.get(callRoute) ?? []) {
				const known = costs.get(callService);
				const slotMs = (known?.slotMs ?? 0) + ratio * cost.slotMs;
				const calls = (known?.calls ?? 0) + ratio * cost.calls;
				const isBounded = slotMs <= maxSlotMs && calls <= maxCalls;
				if (isBounded && slotMs >= minCostMs && (known !== undefined || costs.size < maxServices)) {
					costs.set(callService, {slotMs, calls});
				}
			}
		}

		return costs;
	}
}
