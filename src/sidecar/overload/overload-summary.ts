/**
 * What the sidecars of a data centre know together of demand, call trees, costs and overload (aggregation by the
 * watchers of the store, which hear from everyone each second).
 *
 * In a large fleet one entry sees a few requests a second: too few to tell the mix of its routes, which of them
 * are nested calls, or what they cost an overloaded service. All sidecars of a data centre together see enough.
 */
import {type OverloadReport} from '../link/messages.ts';
import {isDurationMs, isName, isNumberUpTo, isRecord} from '../../decoding/value-checks.ts';
import {type Cost, type CostVector} from './cost-table.ts';

/** Requests of callers on one route that the entries receive. */
export type RouteDemand = {
	readonly route: string;
	readonly service: string;
	readonly priority: number;
	readonly perSecond: number;
};

/** Costs of one request of a route that a service runs. */
export type RouteCosts = {
	readonly route: string;
	readonly service: string;
	readonly costs: ReadonlyArray<Cost & {readonly service: string}>;
};

/** Whether the requests of a route from the instances of a service are nested calls. */
export type RouteOrigin = {
	readonly route: string;
	readonly callerService: string;
	readonly isNested: boolean;
};

export type OverloadSummary = {
	readonly demands: readonly RouteDemand[];
	readonly costs: readonly RouteCosts[];
	readonly origins: readonly RouteOrigin[];
	readonly reports: readonly OverloadReport[];
};

/** Entries of one list in the summary of one instance; routes without traffic are not listed. */
export const maxEntries = 64;

export function listCosts(costs: CostVector): RouteCosts['costs'] {
	return [...costs].map(([service, cost]) => ({service, ...cost}));
}

/**
 * Merges the summaries of instances: demands are added up, costs averaged, origins decided by majority.
 *
 * @example
 * const summary = mergeSummaries([first, second]);
 */
export function mergeSummaries(summaries: readonly OverloadSummary[]): OverloadSummary {
	const demands = new Map<string, RouteDemand>();
	const costs = new Map<string, RouteCosts[]>();
	const votes = new Map<string, {origin: RouteOrigin; balance: number}>();
	for (const summary of summaries) {
		for (const demand of summary.demands) {
			const key = `${demand.route} ${demand.service}`;
			const perSecond = demand.perSecond + (demands.get(key)?.perSecond ?? 0);
			demands.set(key, {...demand, perSecond});
		}

		for (const each of summary.costs) {
			const key = `${each.route} ${each.service}`;
			costs.set(key, [...(costs.get(key) ?? []), each]);
		}

		for (const origin of summary.origins) {
			const key = `${origin.route} ${origin.callerService}`;
			const balance = (votes.get(key)?.balance ?? 0) + (origin.isNested ? 1 : -1);
			votes.set(key, {origin, balance});
		}
	}

	return {
		demands: [...demands.values()],
		costs: [...costs.values()].map(group => computeMeanCosts(group)),
		origins: [...votes.values()].map(({origin, balance}) => ({...origin, isNested: balance > 0})),
		reports: summaries.flatMap(summary => summary.reports),
	};
}

/**
 * Averages the costs that instances of one service measured. The cost of a nested service is averaged over the
 * instances that know it: one that has made too few of the calls lists none.
 */
function computeMeanCosts(group: readonly RouteCosts[]): RouteCosts {
	const sums = new Map<string, Cost & {count: number}>();
	for (const {costs} of group) {
		for (const {service, slotMs, calls} of costs) {
			const sum = sums.get(service) ?? {slotMs: 0, calls: 0, count: 0};
			sums.set(service, {
				slotMs: sum.slotMs + slotMs,
				calls: sum.calls + calls,
				count: sum.count + 1,
			});
		}
	}

	const {route, service} = group[0]!;
	const costs = [...sums].map(([each, {slotMs, calls, count}]) => ({
		service: each,
		slotMs: slotMs / count,
		calls: calls / count,
	}));
	return {route, service, costs};
}

/** Checks a decoded value; a summary from another version must change nothing. */
export function isOverloadSummary(value: unknown): value is OverloadSummary {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {demands, costs, origins, reports} = value as Record<keyof OverloadSummary, unknown>;
	return (
		isListOf(demands, {route: isName, service: isName, priority: isAmount, perSecond: isAmount}) &&
		isListOf(costs, {route: isName, service: isName}) &&
		costs.every(each =>
			isListOf((each as Partial<RouteCosts>).costs, {
				service: isName,
				slotMs: isDurationMs,
				calls: isAmount,
			}),
		) &&
		isListOf(origins, {route: isName, callerService: isName, isNested: isFlag}) &&
		isListOf(reports, {
			instance: isName,
			service: isName,
			region: isName,
			openShare: isShare,
			repeatableShare: isShare,
			ageMs: isDurationMs,
		})
	);
}

const isAmount = (value: unknown) => isNumberUpTo(value, Number.MAX_VALUE);
const isShare = (value: unknown) => isNumberUpTo(value, 1);
const isFlag = (value: unknown) => typeof value === 'boolean';

function isListOf(
	value: unknown,
	fields: Readonly<Record<string, (field: unknown) => boolean>>,
): value is unknown[] {
	return (
		Array.isArray(value) &&
		value.every(
			(each: unknown) =>
				isRecord(each) && Object.entries(fields).every(([name, isValid]) => isValid(each[name])),
		)
	);
}
