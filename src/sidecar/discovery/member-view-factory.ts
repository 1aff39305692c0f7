/** Creates the views of members, with their distance and the connections to them. */
import {type MessageLog} from '../reporting/message-log.ts';
import {type GuardLoad} from '../link/messages.ts';
import {DrainPlan} from '../drain-plan.ts';
import {LinkPool} from '../link/link-pool.ts';
import {type Member, type SidecarSettings} from '../types.ts';
import {type Distance, distances, MemberView} from './member-view.ts';

export class ViewFactory {
	/**
	 * @param readOwnLoad - reads the load of the local guard, which needs no load reports
	 * @example
	 * const factory = ViewFactory.create(settings, messageLog, readOwnLoad);
	 * const view = factory.createView(member);
	 */
	static create(
		settings: SidecarSettings,
		messageLog: Pick<MessageLog, 'recordInvalidFrame'>,
		readOwnLoad: () => GuardLoad,
	): ViewFactory {
		return new ViewFactory(settings, messageLog, readOwnLoad);
	}

	/** Members at the same address share their connections. */
	readonly #pools = new Map<string, LinkPool>();
	readonly #drainPlan: DrainPlan;

	private constructor(
		private readonly settings: SidecarSettings,
		private readonly messageLog: Pick<MessageLog, 'recordInvalidFrame'>,
		private readonly readOwnLoad: () => GuardLoad,
	) {
		this.#drainPlan = DrainPlan.create(settings.graceMs);
	}

	createView(member: Member): MemberView {
		const {settings, readOwnLoad: readLoad} = this;
		if (member.instance === settings.instance) {
			const transport = {kind: 'local', readLoad} as const;
			return MemberView.create(member, transport, distances.dataCentre, this.#drainPlan);
		}

		const key = `${member.link.host}:${member.link.port}`;
		const pool = this.#pools.get(key) ?? this.#createPool(member);
		this.#pools.set(key, pool);
		const distance = computeDistance(member, settings);
		return MemberView.create(member, {kind: 'link', pool}, distance, this.#drainPlan);
	}

	/** Closes all connections. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}
	}

	#createPool(member: Member): LinkPool {
		return LinkPool.create(member.link, reason => {
			this.messageLog.recordInvalidFrame(reason, member.instance);
		});
	}
}

function computeDistance(member: Member, settings: SidecarSettings): Distance {
	if (member.dataCentre === settings.dataCentre) {
		return distances.dataCentre;
	}

	return member.region === settings.region ? distances.region : distances.far;
}
