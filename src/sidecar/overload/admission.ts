/**
 * Decides at the entry whether a request is worth starting.
 *
 * Pattern: a deep service has room for a part of the demand only. What is started beyond that fails
 * late and wastes the work of all services above. So the entry starts what fits: the most important
 * routes first, then those that cost the scarce service least, and a floor for every route.
 */
import {type Route} from '../types.ts';
import {type Cost, type CostBook, type CostVector} from './cost-book.ts';
import {type PressureBoard} from './pressure-board.ts';

export type AdmissionVerdict =
	| {readonly kind: 'admitted'}
	| {
			readonly kind: 'shed';
			readonly reason: string;
			readonly retryAfterMs: number;
			/** Age of the report that decided. */
			readonly reportAgeMs: number;
	  };

/** How often the shares are worked out anew. */
const planEveryMs = 100;
/** Part of the open share that every route gets, whatever its rank, so that none is shut out. */
const floorShare = 0.15;
/**
 * Part of what a rank gets that its routes share evenly; the rest goes to those that cost least. A route
 * must not be shut out for others of its rank that happen to be cheaper.
 */
const evenShare = 0.6;
/** The floor while servers refuse at random: what a few trees get is taken from the important ones. */
const treeFloorShare = 0.1;
/** Calls at one service from which on a request counts as a tree of calls. */
const treeCalls = 1.5;
/** Smoothing of the rates of requests, per plan. */
const rateWeight = 0.15;
/** Routes that were not asked for any more are forgotten below this rate per plan. */
const minRate = 0.001;
/** Returns of callers: after a first pause, over a span that grows with the pressure. */
const firstReturnMs = 300;
const returnSpanMs = 1500;

/** The room of one service, and the part of it that every route gets. */
type OpenService = {
	readonly service: string;
	readonly share: number;
	readonly floor: number;
	readonly ageMs: number;
};

/** Share of a route's requests that is started, and the service that bounds it. */
type PlannedShare = {readonly share: number; readonly service: string; readonly ageMs: number};

/** What one route asks of a scarce service. */
type Need = {
	readonly key: string;
	readonly rate: number;
	readonly cost: number;
	readonly priority: number;
};

type Demand = {readonly route: Route; readonly service: string; rate: number; arrived: number};

export class Admission {
	/**
	 * @example
	 * const admission = Admission.create({costs, board, random: () => Math.random()});
	 */
	static create(options: {
		readonly costs: CostBook;
		readonly board: PressureBoard;
		readonly random: () => number;
	}): Admission {
		return new Admission(options);
	}

	readonly #demands = new Map<string, Demand>();
	/** Share of each route's requests that is started; routes that are missing are open. */
	#shares = new Map<string, PlannedShare>();
	#plannedAtMs = 0;

	private constructor(
		private readonly options: {
			readonly costs: CostBook;
			readonly board: PressureBoard;
			readonly random: () => number;
		},
	) {}

	/** Decides on one request of a caller; calls of servers belong to work that was admitted before. */
	decide(route: Route, service: string, nowMs: number): AdmissionVerdict {
		this.#recordDemand(route, service);
		if (nowMs - this.#plannedAtMs >= planEveryMs) {
			this.#plan(nowMs);
		}

		const planned = this.#shares.get(`${route.name} ${service}`);
		if (planned === undefined || this.options.random() < planned.share) {
			return {kind: 'admitted'};
		}

		const spanMs = returnSpanMs * (1 - planned.share);
		return {
			kind: 'shed',
			reason: `${planned.service} has room for ${Math.round(planned.share * 100)} in 100`,
			retryAfterMs: firstReturnMs + this.options.random() * spanMs,
			reportAgeMs: Math.round(planned.ageMs + nowMs - this.#plannedAtMs),
		};
	}

	#recordDemand(route: Route, service: string): void {
		const key = `${route.name} ${service}`;
		const demand = this.#demands.get(key);
		if (demand === undefined) {
			this.#demands.set(key, {route, service, rate: 0, arrived: 1});
		} else {
			demand.arrived++;
		}
	}

	#plan(nowMs: number): void {
		this.#plannedAtMs = nowMs;
		for (const [key, demand] of this.#demands) {
			demand.rate += (demand.arrived - demand.rate) * rateWeight;
			demand.arrived = 0;
			if (demand.rate < minRate) {
				this.#demands.delete(key);
			}
		}

		const shares = new Map<string, PlannedShare>();
		for (const [service, pressure] of this.options.board.listPressed(nowMs)) {
			const {openShare, repeatableShare, ageMs} = pressure;
			const bySlots = this.#listNeeds(service, 'slotMs');
			this.#planService(bySlots, {service, share: openShare, floor: floorShare, ageMs}, shares);
			// A single call gets through by chance as well as by repeats; a tree of calls needs them.
			const byCalls = this.#listNeeds(service, 'calls').filter(need => need.cost >= treeCalls);
			this.#planService(
				byCalls,
				{service, share: repeatableShare, floor: treeFloorShare, ageMs},
				shares,
			);
		}

		this.#shares = shares;
	}

	/** Shares the room of one service among the routes that need it. */
	#planService(needs: readonly Need[], open: OpenService, shares: Map<string, PlannedShare>): void {
		if (open.share >= 1) {
			return;
		}

		const floor = open.share * open.floor;
		for (const {need, share} of shareRoom(needs, open.share, floor)) {
			const planned = shares.get(need.key);
			if (share < (planned?.share ?? 1)) {
				shares.set(need.key, {share, service: open.service, ageMs: open.ageMs});
			}
		}
	}

	/** Lists the routes that need a service, those to be served first at the beginning. */
	#listNeeds(service: string, unit: keyof Cost): Need[] {
		const needs: Need[] = [];
		for (const [key, demand] of this.#demands) {
			const costs: CostVector | undefined = this.options.costs.read(
				demand.route.name,
				demand.service,
			);
			const cost = costs?.get(service)?.[unit] ?? (demand.service === service ? 1 : 0);
			if (cost > 0) {
				needs.push({key, rate: demand.rate, cost, priority: demand.route.priority});
			}
		}

		return needs.toSorted(
			(first, second) => first.priority - second.priority || first.cost - second.cost,
		);
	}
}

type SharedNeed = {readonly need: Need; readonly share: number};

/** Shares a part of what is asked: rank by rank, after a floor for all. */
function shareRoom(needs: readonly Need[], openShare: number, floor: number): SharedNeed[] {
	let room = sumDemand(needs) * (openShare - floor);
	const shared: SharedNeed[] = [];
	for (const rank of listRanks(needs)) {
		const group = needs.filter(need => need.priority === rank);
		const wanted = sumDemand(group) * (1 - floor);
		const given = Math.min(room, wanted);
		shared.push(...shareWithinRank(group, floor, wanted <= 0 ? 1 : given / wanted));
		room -= given;
	}

	return shared;
}

/** Shares what one rank gets: a part evenly, the rest to the cheapest first. */
function shareWithinRank(group: readonly Need[], floor: number, rankShare: number): SharedNeed[] {
	const even = rankShare < 1 ? rankShare * evenShare : 1;
	let rest = sumDemand(group) * (1 - floor) * (rankShare - even);
	const shared: SharedNeed[] = [];
	for (const need of group) {
		const wanted = need.rate * need.cost * (1 - floor);
		const extra = wanted <= 0 ? 0 : Math.max(0, Math.min(1 - even, rest / wanted));
		rest -= extra * wanted;
		shared.push({need, share: floor + (1 - floor) * (even + extra)});
	}

	return shared;
}

function sumDemand(needs: readonly Need[]): number {
	let sum = 0;
	for (const need of needs) {
		sum += need.rate * need.cost;
	}

	return sum;
}

/** Lists the ranks that occur, the most important first. */
function listRanks(needs: readonly Need[]): number[] {
	const ranks = new Set(needs.map(need => need.priority));
	return [...ranks].toSorted((first, second) => first - second);
}
