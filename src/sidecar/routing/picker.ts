/**
 * Selects the server for a request.
 *
 * Nearer servers are preferred, since traffic between data centres and regions is billed and slow. Requests
 * go to a farther server when the nearer one is clearly busier.
 */
import {type Distance, distances, type MemberView} from '../discovery/member-view.ts';

/**
 * Cost of the distance, in units of slot utilization. A server counts with at least `minUtilization`, and
 * `penalty` is added to that. Requests therefore go to another data centre when the utilization of the nearer
 * servers exceeds 0.6 (0.45 + 0.15), and to the other region when it exceeds 1.05 (0.6 + 0.45), that is, when
 * requests would queue.
 */
const distanceCosts: Readonly<
	Record<Distance, {readonly penalty: number; readonly minUtilization: number}>
> = {
	[distances.dataCentre]: {penalty: 0, minUtilization: 0},
	[distances.region]: {penalty: 0.15, minUtilization: 0.45},
	[distances.far]: {penalty: 0.45, minUtilization: 0.6},
};
/** Order in which members are compared. */
const nearestFirst = [distances.dataCentre, distances.region, distances.far] as const;
/** Available members compared at each distance, starting from a random one. */
const maxCompared = 6;
/** Cost of an instance that stops, in units of utilization: it gets what the others have no room for. */
const drainingCost = 0.5;
/** Random addition to the cost. Without it, all requests between two load reports go to the same server. */
const maxJitter = 0.06;

/** The members of a service by their distance. */
export type MembersByDistance = Readonly<Record<Distance, readonly MemberView[]>>;

/** A member and the cost of sending the request to it. */
type Choice = {readonly view: MemberView; readonly cost: number};

/** What a choice depends on beside the members. */
export type PickInput = {
	/** Instances to skip, since the request has already been sent to them. */
	readonly tried: ReadonlySet<string>;
	readonly nowMs: number;
	/** Time within which the request is answered in any case. */
	readonly boundMs: number;
	random(): number;
};

/**
 * Picks the available member with the lowest utilization, adjusted for its distance.
 *
 * Farther members are compared only while no nearer one costs less than the least that they can cost. So the
 * number of compared members doesn't depend on the size of the service, and the own data centre is never
 * missed among many others.
 *
 * @returns undefined when no member is available
 * @example
 * const input = {tried: new Set(), nowMs: performance.now(), boundMs: 2000, random: Math.random};
 * const view = pickMember(directory.listService('catalogue'), input);
 */
export function pickMember(members: MembersByDistance, input: PickInput): MemberView | undefined {
	let best: Choice | undefined;
	for (const distance of nearestFirst) {
		const {penalty, minUtilization} = distanceCosts[distance];
		if (best !== undefined && best.cost <= penalty + minUtilization) {
			break;
		}

		const choice = pickAtDistance(members[distance], input);
		if (choice !== undefined && (best === undefined || choice.cost < best.cost)) {
			best = choice;
		}
	}

	return best?.view;
}

/** Picks the best of a few members, starting from a random one. */
function pickAtDistance(views: readonly MemberView[], input: PickInput): Choice | undefined {
	const {tried, nowMs, boundMs, random} = input;
	let best: Choice | undefined;
	let compared = 0;
	const start = Math.floor(random() * views.length);
	for (let index = 0; index < views.length && compared < maxCompared; index++) {
		const view = views[(start + index) % views.length]!;
		if (!view.isAvailable(nowMs, boundMs) || tried.has(view.member.instance)) {
			continue;
		}

		const {penalty, minUtilization} = distanceCosts[view.distance];
		const utilization = Math.max(minUtilization, view.estimateUtilization(nowMs));
		const stateCost = view.member.state === 'ready' ? 0 : drainingCost;
		const cost = utilization + penalty + stateCost + random() * maxJitter;
		if (best === undefined || cost < best.cost) {
			best = {view, cost};
		}

		compared++;
	}

	return best;
}

/** Groups members by their distance. */
export function groupByDistance(views: Iterable<MemberView>): MembersByDistance {
	const groups: Record<Distance, MemberView[]> = {
		[distances.dataCentre]: [],
		[distances.region]: [],
		[distances.far]: [],
	};
	for (const view of views) {
		groups[view.distance].push(view);
	}

	return groups;
}
