/**
 * Divides the capacity of an overloaded service among the routes that need it: by priority, and within one
 * priority partly evenly and partly to the cheapest routes.
 */

/**
 * Fraction of a priority's capacity that its routes split evenly; the rest goes to the cheapest routes.
 * The even split prevents cheaper routes of the same priority from starving an expensive one.
 */
const evenSplitShare = 0.6;

/** Demand of one route for an overloaded service. */
export type ServiceDemand = {
	readonly key: string;
	readonly rate: number;
	/** Cost of one request at the service, in slot milliseconds or calls. */
	readonly cost: number;
	readonly priority: number;
};

type Allocation = {readonly demand: ServiceDemand; readonly share: number};

/**
 * Grants every route the minimum share, then allocates the remaining capacity by priority.
 *
 * @param openShare - capacity as a share of the whole demand
 * @example
 * const allocations = allocateCapacity(demands, 0.5, 0.075);
 */
export function allocateCapacity(
	demands: readonly ServiceDemand[],
	openShare: number,
	minShare: number,
): Allocation[] {
	let remaining = sumDemand(demands) * (openShare - minShare);
	const allocations: Allocation[] = [];
	for (const priority of listPriorities(demands)) {
		const group = demands.filter(demand => demand.priority === priority);
		const wanted = sumDemand(group) * (1 - minShare);
		const granted = Math.min(remaining, wanted);
		allocations.push(...allocateToGroup(group, minShare, wanted <= 0 ? 1 : granted / wanted));
		remaining -= granted;
	}

	return allocations;
}

/** Allocates the capacity of one priority: a part evenly, the rest to the cheapest routes first. */
function allocateToGroup(
	group: readonly ServiceDemand[],
	minShare: number,
	groupShare: number,
): Allocation[] {
	const evenShare = groupShare < 1 ? groupShare * evenSplitShare : 1;
	let remaining = sumDemand(group) * (1 - minShare) * (groupShare - evenShare);
	const allocations: Allocation[] = [];
	for (const demand of group) {
		const wanted = demand.rate * demand.cost * (1 - minShare);
		const extraShare = wanted <= 0 ? 0 : Math.max(0, Math.min(1 - evenShare, remaining / wanted));
		remaining -= extraShare * wanted;
		allocations.push({demand, share: minShare + (1 - minShare) * (evenShare + extraShare)});
	}

	return allocations;
}

function sumDemand(demands: readonly ServiceDemand[]): number {
	let sum = 0;
	for (const demand of demands) {
		sum += demand.rate * demand.cost;
	}

	return sum;
}

/** Lists the priorities in use in ascending order; the lowest number is the most important. */
function listPriorities(demands: readonly ServiceDemand[]): number[] {
	const priorities = new Set(demands.map(demand => demand.priority));
	return [...priorities].toSorted((first, second) => first - second);
}
