/** Builds the views of members: how far they are and which connections lead there. */
import {type GuardLoad} from '../link/messages.ts';
import {LinkPool} from '../link/link-client.ts';
import {type Member, type SidecarSettings} from '../types.ts';
import {type Distance, distances, MemberView} from './member-view.ts';

/**
 * Creates the function that builds a view; members at the same address share their connections.
 *
 * @param readOwnLoad - load of the own guard, which needs no reports
 * @example
 * const directory = Directory.create(createViewFactory(settings, readOwnLoad));
 */
export function createViewFactory(
	settings: SidecarSettings,
	readOwnLoad: () => GuardLoad,
): (member: Member) => MemberView {
	const pools = new Map<string, LinkPool>();
	return member => {
		if (member.instance === settings.instance) {
			const way = {kind: 'local', readLoad: readOwnLoad} as const;
			return MemberView.create(member, way, distances.dataCentre);
		}

		const key = `${member.link.host}:${member.link.port}`;
		const pool = pools.get(key) ?? LinkPool.create(member.link);
		pools.set(key, pool);
		return MemberView.create(member, {kind: 'link', pool}, computeDistance(member, settings));
	};
}

function computeDistance(member: Member, settings: SidecarSettings): Distance {
	if (member.dataCentre === settings.dataCentre) {
		return distances.dataCentre;
	}

	return member.region === settings.region ? distances.region : distances.far;
}
