/** Finds the route of a request and picks the service that runs it. */
import {type MeshConfig, type Route} from '../types.ts';

/** A route with the state of its traffic split. */
type SplitRoute = {readonly route: Route; readonly credits: number[]; readonly totalWeight: number};

export class RouteTable {
	/**
	 * @example
	 * const table = RouteTable.create(config);
	 * const route = table.findRoute('shop.example', '/orders/17?full=1');
	 */
	static create(config: MeshConfig): RouteTable {
		return new RouteTable(config);
	}

	readonly #hosts = new Map<string, Map<string, SplitRoute>>();

	private constructor(readonly config: MeshConfig) {
		for (const route of config.routes) {
			let prefixes = this.#hosts.get(route.host);
			if (prefixes === undefined) {
				prefixes = new Map();
				this.#hosts.set(route.host, prefixes);
			}

			const credits = route.weightedServices.map(() => 0);
			let totalWeight = 0;
			for (const weightedService of route.weightedServices) {
				totalWeight += weightedService.weight;
			}

			prefixes.set(route.prefix, {route, credits, totalWeight});
		}
	}

	/**
	 * Finds the route with the longest prefix that matches the path.
	 *
	 * @param host - the Host header, with or without a port
	 * @returns undefined when the configuration has no such route
	 */
	findRoute(host: string, url: string): Route | undefined {
		return this.#find(host, url)?.route;
	}

	/**
	 * Picks the service for the next request of a route by smooth weighted round-robin, so that any run of
	 * consecutive requests keeps the weights.
	 *
	 * @example
	 * const service = table.pickService(route);
	 */
	pickService(route: Route): string {
		const {weightedServices} = route;
		if (weightedServices.length === 1) {
			return weightedServices[0]!.service;
		}

		const split = this.#hosts.get(route.host)!.get(route.prefix)!;
		let best = 0;
		for (const [index, weightedService] of weightedServices.entries()) {
			split.credits[index]! += weightedService.weight;
			if (split.credits[index]! > split.credits[best]!) {
				best = index;
			}
		}

		split.credits[best]! -= split.totalWeight;
		return weightedServices[best]!.service;
	}

	#find(host: string, url: string): SplitRoute | undefined {
		const prefixes = this.#hosts.get(normalizeHost(host));
		if (prefixes === undefined) {
			return undefined;
		}

		const queryStart = url.indexOf('?');
		const path = queryStart === -1 ? url : url.slice(0, queryStart);
		for (
			let end = path.lastIndexOf('/');
			end !== -1;
			end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)
		) {
			const split = prefixes.get(path.slice(0, end + 1));
			if (split !== undefined) {
				return split;
			}
		}

		return undefined;
	}
}

function normalizeHost(host: string): string {
	const colon = host.indexOf(':');
	return (colon === -1 ? host : host.slice(0, colon)).toLowerCase();
}
