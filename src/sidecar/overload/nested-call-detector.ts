/**
 * Detects which requests at a guard are nested calls, by the service of the instances that they come from.
 *
 * Callers use the sidecars of all instances alike, so their requests arrive from the instances of every
 * service. Nested calls arrive only from the instances of the service whose servers make them.
 */

import {maxEntries, type RouteOrigin} from './overload-summary.ts';

/** Requests from a service below which its rate is not significant. */
const minRequests = 4;
/** A service's requests include nested calls if its rate exceeds the baseline rate by this factor. */
const nestedRateFactor = 4;
/** Total at which the counts are halved, so that they follow changes in the traffic. */
const halvingThreshold = 400;

/** Requests of one route, by the service of the instance that sent them. */
type OriginCounts = {readonly counts: Map<string, number>; total: number};

export class NestedCallDetector {
	/**
	 * @param countInstances - number of known instances of a service
	 * @example
	 * const detector = NestedCallDetector.create(service => directory.countMembers(service));
	 * detector.record('r-prices', 'patrons');
	 * const isNested = detector.isNested('r-prices', 'patrons', 4);
	 */
	static create(countInstances: (service: string) => number): NestedCallDetector {
		return new NestedCallDetector(countInstances);
	}

	readonly #originsByRoute = new Map<string, OriginCounts>();

	private constructor(private readonly countInstances: (service: string) => number) {}

	/** Counts a request of a route from an instance of a service. */
	record(route: string, callerService: string): void {
		let origins = this.#originsByRoute.get(route);
		if (origins === undefined) {
			origins = {counts: new Map(), total: 0};
			this.#originsByRoute.set(route, origins);
		}

		origins.counts.set(callerService, (origins.counts.get(callerService) ?? 0) + 1);
		origins.total++;
		if (origins.total >= halvingThreshold) {
			halveCounts(origins);
		}
	}

	/**
	 * Whether most requests of a route from a service's instances are nested calls of its servers.
	 *
	 * @param serviceCount - number of known services; a single service can't be compared with others
	 * @returns undefined while there are too few requests to decide
	 */
	isNested(route: string, callerService: string, serviceCount: number): boolean | undefined {
		const origins = this.#originsByRoute.get(route);
		const count = origins?.counts.get(callerService) ?? 0;
		if (origins === undefined || count < minRequests || serviceCount < 2) {
			return undefined;
		}

		const otherRates: number[] = [];
		for (const service of origins.counts.keys()) {
			if (service !== callerService) {
				otherRates.push(this.#computeRate(origins, service));
			}
		}

		const baselineRate = selectBaselineRate(otherRates, serviceCount - 1 - otherRates.length);
		return this.#computeRate(origins, callerService) > nestedRateFactor * baselineRate;
	}

	/** Lists what is known of all routes and services that send them. */
	listOrigins(serviceCount: number): RouteOrigin[] {
		const origins: RouteOrigin[] = [];
		for (const [route, {counts}] of this.#originsByRoute) {
			for (const callerService of counts.keys()) {
				const isNested = this.isNested(route, callerService, serviceCount);
				if (isNested !== undefined && origins.length < maxEntries) {
					origins.push({route, callerService, isNested});
				}
			}
		}

		return origins;
	}

	/** Computes the requests per instance of a service. */
	#computeRate(origins: OriginCounts, service: string): number {
		return (origins.counts.get(service) ?? 0) / Math.max(1, this.countInstances(service));
	}
}

/**
 * Selects the rate that is typical of a service whose servers don't call the route. This is the second
 * lowest rate: the higher ones may include nested calls, since several services may call the route, and the
 * lowest may be low by chance.
 *
 * @param silentCount - number of services that sent no request of the route
 */
function selectBaselineRate(rates: readonly number[], silentCount: number): number {
	if (silentCount > 1 || rates.length === 0) {
		return 0;
	}

	const sorted = rates.toSorted((first, second) => first - second);
	return sorted[Math.min(1 - Math.max(0, silentCount), sorted.length - 1)]!;
}

function halveCounts(origins: OriginCounts): void {
	origins.total = 0;
	for (const [service, count] of origins.counts) {
		origins.counts.set(service, count / 2);
		origins.total += count / 2;
	}
}
