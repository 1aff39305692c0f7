/** Builds the views of members: how far they are and which connections lead there. */
import {type GuardLoad} from '../link/messages.ts';
import {LinkPool} from '../link/link-pool.ts';
import {type Member, type SidecarSettings} from '../types.ts';
import {type Distance, distances, MemberView} from './member-view.ts';

export class ViewFactory {
	/**
	 * @param readOwnLoad - load of the own guard, which needs no reports
	 * @example
	 * const views = ViewFactory.create(settings, readOwnLoad);
	 * const view = views.createView(member);
	 */
	static create(settings: SidecarSettings, readOwnLoad: () => GuardLoad): ViewFactory {
		return new ViewFactory(settings, readOwnLoad);
	}

	/** Members at the same address share their connections. */
	readonly #pools = new Map<string, LinkPool>();

	private constructor(
		private readonly settings: SidecarSettings,
		private readonly readOwnLoad: () => GuardLoad,
	) {}

	createView(member: Member): MemberView {
		const {settings, readOwnLoad: readLoad} = this;
		if (member.instance === settings.instance) {
			return MemberView.create(member, {kind: 'local', readLoad}, distances.dataCentre);
		}

		const key = `${member.link.host}:${member.link.port}`;
		const pool = this.#pools.get(key) ?? LinkPool.create(member.link);
		this.#pools.set(key, pool);
		return MemberView.create(member, {kind: 'link', pool}, computeDistance(member, settings));
	}

	/** Closes all connections. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}
	}
}

function computeDistance(member: Member, settings: SidecarSettings): Distance {
	if (member.dataCentre === settings.dataCentre) {
		return distances.dataCentre;
	}

	return member.region === settings.region ? distances.region : distances.far;
}
