/**
 * Priority-based load shedding at the entry sidecar.
 *
 * When a service deep in the call tree is overloaded, requests beyond its capacity fail late and waste the
 * work of all services above it. The entry therefore sheds the excess before any work starts. Routes with
 * the highest priority are admitted first, then routes that cost the overloaded service least. Every route
 * keeps a minimum share.
 */
import {type Route} from '../types.ts';
import {allocateCapacity, type ServiceDemand} from './capacity-allocation.ts';
import {type Cost, type CostTable, type CostVector} from './cost-table.ts';
import {type OverloadReportTable} from './overload-report-table.ts';
import {maxEntries, type RouteDemand} from './overload-summary.ts';

export type AdmissionDecision =
	| {readonly kind: 'admitted'}
	| {
			readonly kind: 'shed';
			readonly reason: string;
			readonly retryAfterMs: number;
			/** Age of the overload report behind the decision. */
			readonly reportAgeMs: number;
	  };

const planIntervalMs = 100;
/** Fraction of the open share that every route gets regardless of its priority, so that none is starved. */
const routeMinShareFactor = 0.15;
/**
 * Same as `routeMinShareFactor`, for call trees while servers refuse requests at random. It is lower because
 * the retries that it uses are taken from routes of higher priority.
 */
const treeMinShareFactor = 0.1;
/** Calls to one service per request from which on the request counts as a call tree. */
const minTreeCalls = 1.5;
/** Time constant of the moving average of a route's rate. */
const rateTimeConstantMs = 1000;
/** Routes with a lower rate, in requests per second, are removed as no longer in use. */
const minTrackedRate = 0.01;
/** Without an exchange of summaries for this long, the demand at this entry alone counts; they are 4 to 6 s apart. */
const maxSharedDemandAgeMs = 10_000;
/**
 * Shed callers retry after `minRetryAfterMs` plus a random part of a spread. The spread grows with the shed
 * fraction, up to `maxRetryAfterSpreadMs`.
 */
const minRetryAfterMs = 300;
const maxRetryAfterSpreadMs = 1500;

/** Capacity of one service as a share of its demand. */
type ServiceCapacity = {
	readonly service: string;
	readonly share: number;
	/** Minimum share of each route, as a fraction of `share`. */
	readonly minShareFactor: number;
	readonly ageMs: number;
};

/** Share of a route's requests that is admitted, and the service that limits it. */
type PlannedShare = {readonly share: number; readonly service: string; readonly ageMs: number};

/** Arrivals of one route; `rate` is in requests per second. */
type RouteTraffic = {
	readonly route: Pick<Route, 'name' | 'priority'>;
	readonly service: string;
	rate: number;
	arrived: number;
};

export class AdmissionController {
	/**
	 * @example
	 * const admission = AdmissionController.create({costs, overloadReports, random: () => Math.random()});
	 */
	static create(options: {
		readonly costs: CostTable;
		readonly overloadReports: OverloadReportTable;
		readonly random: () => number;
	}): AdmissionController {
		return new AdmissionController(options);
	}

	readonly #trafficByRoute = new Map<string, RouteTraffic>();
	/** Limited routes only; a route without an entry is fully admitted. */
	#plannedShares = new Map<string, PlannedShare>();
	#plannedAtMs = 0;
	#ratedAtMs = 0;
	/** Demand at all entries of the data centre, and when it was received. */
	#sharedDemands: readonly RouteDemand[] = [];
	#sharedAtMs = Number.NEGATIVE_INFINITY;

	private constructor(
		private readonly options: {
			readonly costs: CostTable;
			readonly overloadReports: OverloadReportTable;
			readonly random: () => number;
		},
	) {}

	/**
	 * Decides whether to admit one request of a caller. Nested calls are not checked here, since they
	 * belong to a request that has already been admitted.
	 */
	decide(route: Route, service: string, nowMs: number): AdmissionDecision {
		this.#recordArrival(route, service);
		if (nowMs - this.#plannedAtMs >= planIntervalMs) {
			this.#updatePlan(nowMs);
		}

		const planned = this.#plannedShares.get(`${route.name} ${service}`);
		if (planned === undefined || this.options.random() < planned.share) {
			return {kind: 'admitted'};
		}

		const spreadMs = maxRetryAfterSpreadMs * (1 - planned.share);
		return {
			kind: 'shed',
			reason: `${planned.service} has room for ${Math.round(planned.share * 100)} in 100`,
			retryAfterMs: minRetryAfterMs + this.options.random() * spreadMs,
			reportAgeMs: Math.round(planned.ageMs + nowMs - this.#plannedAtMs),
		};
	}

	/** Lists the demand of callers at this entry. */
	listDemands(nowMs: number): RouteDemand[] {
		this.#updateRates(nowMs);
		return [...this.#trafficByRoute.values()]
			.slice(0, maxEntries)
			.map(({route, service, rate: perSecond}) => ({
				route: route.name,
				service,
				priority: route.priority,
				perSecond,
			}));
	}

	/** Sets the demand at all entries of the data centre, which is denser than that of this entry alone. */
	setSharedDemands(demands: readonly RouteDemand[], nowMs: number): void {
		this.#sharedDemands = demands;
		this.#sharedAtMs = nowMs;
	}

	#recordArrival(route: Route, service: string): void {
		const key = `${route.name} ${service}`;
		const traffic = this.#trafficByRoute.get(key);
		if (traffic === undefined) {
			this.#trafficByRoute.set(key, {route, service, rate: 0, arrived: 1});
		} else {
			traffic.arrived++;
		}
	}

	#updatePlan(nowMs: number): void {
		this.#updateRates(nowMs);
		this.#plannedAtMs = nowMs;
		const traffic = this.#listTraffic(nowMs);
		const shares = new Map<string, PlannedShare>();
		for (const [service, overload] of this.options.overloadReports.listOverloaded(nowMs)) {
			const {openShare, repeatableShare, ageMs} = overload;
			const bySlots = this.#listServiceDemands(traffic, service, 'slotMs');
			this.#limitRoutes(
				bySlots,
				{service, share: openShare, minShareFactor: routeMinShareFactor, ageMs},
				shares,
			);
			// Random refusals limit only call trees: a single call may succeed without a retry, while a
			// tree hardly ever succeeds without retries.
			const byCalls = this.#listServiceDemands(traffic, service, 'calls').filter(
				demand => demand.cost >= minTreeCalls,
			);
			this.#limitRoutes(
				byCalls,
				{service, share: repeatableShare, minShareFactor: treeMinShareFactor, ageMs},
				shares,
			);
		}

		this.#plannedShares = shares;
	}

	/** Updates the rates with the arrivals since the last update. */
	#updateRates(nowMs: number): void {
		const elapsedMs = nowMs - this.#ratedAtMs;
		if (elapsedMs <= 0) {
			return;
		}

		this.#ratedAtMs = nowMs;
		const weight = 1 - Math.exp(-elapsedMs / rateTimeConstantMs);
		for (const [key, traffic] of this.#trafficByRoute) {
			traffic.rate += ((traffic.arrived * 1000) / elapsedMs - traffic.rate) * weight;
			traffic.arrived = 0;
			if (traffic.rate < minTrackedRate) {
				this.#trafficByRoute.delete(key);
			}
		}
	}

	/** Lists the traffic of the data centre, or of this entry while that is not known. */
	#listTraffic(nowMs: number): Map<string, RouteTraffic> {
		if (nowMs - this.#sharedAtMs > maxSharedDemandAgeMs) {
			return this.#trafficByRoute;
		}

		const traffic = new Map(this.#trafficByRoute);
		for (const {route: name, service, priority, perSecond} of this.#sharedDemands) {
			const key = `${name} ${service}`;
			const rate = Math.max(perSecond, traffic.get(key)?.rate ?? 0);
			traffic.set(key, {route: {name, priority}, service, rate, arrived: 0});
		}

		return traffic;
	}

	/** Divides the capacity of one service; a route's lowest share over all services applies. */
	#limitRoutes(
		demands: readonly ServiceDemand[],
		capacity: ServiceCapacity,
		shares: Map<string, PlannedShare>,
	): void {
		if (capacity.share >= 1) {
			return;
		}

		const minShare = capacity.share * capacity.minShareFactor;
		for (const {demand, share} of allocateCapacity(demands, capacity.share, minShare)) {
			const planned = shares.get(demand.key);
			if (share < (planned?.share ?? 1)) {
				shares.set(demand.key, {share, service: capacity.service, ageMs: capacity.ageMs});
			}
		}
	}

	/** Lists the demand of each route for a service: highest priority first, then lowest cost first. */
	#listServiceDemands(
		trafficByRoute: ReadonlyMap<string, RouteTraffic>,
		service: string,
		unit: keyof Cost,
	): ServiceDemand[] {
		const demands: ServiceDemand[] = [];
		for (const [key, traffic] of trafficByRoute) {
			const costs: CostVector | undefined = this.options.costs.read(
				traffic.route.name,
				traffic.service,
			);
			const cost = costs?.get(service)?.[unit] ?? (traffic.service === service ? 1 : 0);
			if (cost > 0) {
				demands.push({key, rate: traffic.rate, cost, priority: traffic.route.priority});
			}
		}

		return demands.toSorted(
			(first, second) => first.priority - second.priority || first.cost - second.cost,
		);
	}
}
