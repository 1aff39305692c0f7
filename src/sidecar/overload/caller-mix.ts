/**
 * Tells calls of servers from requests of callers by where they come from.
 *
 * Callers stand beside all servers alike, so their requests reach a guard from the instances of every
 * service. Calls of a server come from the instances of its own service only.
 */

/** Requests from a service needed before its share means anything. */
const minRequests = 4;
/** Times the usual number of requests per instance from which a service's own calls must be among them. */
const innerFactor = 4;
/** Requests after which the counts are halved, so that the mix follows changes. */
const halvedAfter = 400;

type Mix = {readonly counts: Map<string, number>; total: number};

export class CallerMix {
	/**
	 * @param countInstances - instances of a service that are known
	 * @example
	 * const mix = CallerMix.create(service => directory.listService(service).length);
	 * mix.record('r-prices', 'patrons');
	 * const isInner = mix.isInner('r-prices', 'patrons', 4);
	 */
	static create(countInstances: (service: string) => number): CallerMix {
		return new CallerMix(countInstances);
	}

	readonly #mixes = new Map<string, Mix>();

	private constructor(private readonly countInstances: (service: string) => number) {}

	/** Counts a request of a route from an instance of a service. */
	record(route: string, callerService: string): void {
		let mix = this.#mixes.get(route);
		if (mix === undefined) {
			mix = {counts: new Map(), total: 0};
			this.#mixes.set(route, mix);
		}

		mix.counts.set(callerService, (mix.counts.get(callerService) ?? 0) + 1);
		mix.total++;
		if (mix.total >= halvedAfter) {
			halve(mix);
		}
	}

	/**
	 * Whether requests of a route from a service's instances are calls of its servers for the most part.
	 *
	 * @param serviceCount - services that are known; with a single one there is nothing to compare
	 * @returns undefined while too little has come to tell
	 */
	isInner(route: string, callerService: string, serviceCount: number): boolean | undefined {
		const mix = this.#mixes.get(route);
		const count = mix?.counts.get(callerService) ?? 0;
		if (mix === undefined || count < minRequests || serviceCount < 2) {
			return undefined;
		}

		const others: number[] = [];
		for (const service of mix.counts.keys()) {
			if (service !== callerService) {
				others.push(this.#computeRate(mix, service));
			}
		}

		const usual = readUsual(others, serviceCount - 1 - others.length);
		return this.#computeRate(mix, callerService) > innerFactor * usual;
	}

	/** Requests per instance of a service. */
	#computeRate(mix: Mix, service: string): number {
		return (mix.counts.get(service) ?? 0) / Math.max(1, this.countInstances(service));
	}
}

/**
 * Reads what comes from beside a service whose servers don't call the route: the second lowest rate,
 * since several services may call it and chance may spare one.
 *
 * @param silent - services from which nothing has come
 */
function readUsual(rates: readonly number[], silent: number): number {
	if (silent > 1 || rates.length === 0) {
		return 0;
	}

	const sorted = rates.toSorted((first, second) => first - second);
	return sorted[Math.min(1 - Math.max(0, silent), sorted.length - 1)]!;
}

function halve(mix: Mix): void {
	mix.total = 0;
	for (const [service, count] of mix.counts) {
		mix.counts.set(service, count / 2);
		mix.total += count / 2;
	}
}
