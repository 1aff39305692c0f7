/**
 * Chooses the server for a request.
 *
 * Pattern: near servers first, since bytes between data centres and regions are billed and slow; work
 * spills over when a near server is clearly busier than a far one.
 */
import {type Distance, distances, type MemberView} from '../knowledge/member-view.ts';

/**
 * What a farther server has to be less busy by, as a share of its slots, before work goes there, and the
 * least use that it counts with. A near server has to be busier than the sum: work goes to another data
 * centre above 0.6 of the near slots, and to the other region when requests wait.
 */
const distanceCosts: Readonly<
	Record<Distance, {readonly penalty: number; readonly least: number}>
> = {
	[distances.dataCentre]: {penalty: 0, least: 0},
	[distances.region]: {penalty: 0.15, least: 0.45},
	[distances.far]: {penalty: 0.45, least: 0.6},
};
/** Members are all compared up to this number; of more, that many are drawn. */
const maxCompared = 8;
/** Spreads choices that would otherwise all fall on the same server between two load reports. */
const jitter = 0.06;

/**
 * Picks the member with the most room, near ones first.
 *
 * @param tried - instances that have turned this request away
 * @returns undefined when no member can take it
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
		if (!view.canTake(nowMs) || tried.has(view.member.instance)) {
			continue;
		}

		const {penalty, least} = distanceCosts[view.distance];
		const cost = Math.max(least, view.estimateUse(nowMs)) + penalty + random() * jitter;
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
