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
/**
 * Limit of compared members, starting from a random one. More are compared only while the best one is in
 * the other region.
 */
const maxCompared = 8;
/** Random addition to the cost. Without it, all requests between two load reports go to the same server. */
const maxJitter = 0.06;

/**
 * Picks the available member with the lowest utilization, adjusted for its distance.
 *
 * @param tried - instances to skip, since the request has already been sent to them
 * @returns undefined when no member is available
 * @example
 * const view = pickMember(directory.listService('catalogue'), new Set(), performance.now(), Math.random);
 */
export function pickMember(
	views: readonly MemberView[],
	tried: ReadonlySet<string>,
	nowMs: number,
	random: () => number,
): MemberView | undefined {
	let best: MemberView | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	const start = views.length > maxCompared ? Math.floor(random() * views.length) : 0;
	let compared = 0;
	for (let index = 0; index < views.length; index++) {
		const view = views[(start + index) % views.length]!;
		if (!view.isAvailable(nowMs) || tried.has(view.member.instance)) {
			continue;
		}

		const {penalty, minUtilization} = distanceCosts[view.distance];
		const cost =
			Math.max(minUtilization, view.estimateUtilization(nowMs)) + penalty + random() * maxJitter;
		if (cost < bestCost) {
			best = view;
			bestCost = cost;
		}

		compared++;
		if (compared >= maxCompared && best!.distance !== distances.far) {
			break;
		}
	}

	return best;
}
