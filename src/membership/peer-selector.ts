/**
 * Selects the members that a daemon contacts in addition to its ping rotation.
 */
import {type MemberTable} from './member-table.ts';
import {gossipLimits} from './settings.ts';
import {type Member} from './types.ts';

/** Random draws, beyond the number of members wanted, before the selection returns what it has. */
const extraDraws = 8;

export class PeerSelector {
	/**
	 * `random` returns numbers from 0 (inclusive) to 1 (exclusive).
	 *
	 * @example
	 * const peers = PeerSelector.create(table, self, Math.random);
	 */
	static create(table: MemberTable, self: Member, random: () => number): PeerSelector {
		return new PeerSelector(table, self, random);
	}

	private constructor(
		private readonly table: MemberTable,
		private readonly self: Member,
		private readonly random: () => number,
	) {}

	/** Picks distinct members of the local data centre. */
	pickLocal(maxCount: number, canPick: (member: Member) => boolean = () => true): Member[] {
		return this.#pickFrom(this.table.findServers(this.self.dataCentre), maxCount, canPick);
	}

	/** Picks members of each remote data centre. */
	pickFromEachRemote(maxCountEach: number): Member[] {
		const picked: Member[] = [];
		for (const dataCentre of this.table.dataCentres) {
			if (dataCentre !== this.self.dataCentre) {
				picked.push(...this.#pickFrom(this.table.findServers(dataCentre), maxCountEach));
			}
		}

		return picked;
	}

	/**
	 * Picks the members of remote data centres to ping in this tick. The rate limits are per data
	 * centre, so each member of the local one uses its share.
	 */
	pickRemotePingTargets(): Member[] {
		const localCount = this.table.findServers(this.self.dataCentre).size;
		const {localRegionPingsPerSecond, otherRegionPingsPerSecond} = gossipLimits;
		const picked: Member[] = [];
		if (this.random() < localRegionPingsPerSecond / localCount) {
			picked.push(...this.#pickByRegion(true));
		}

		if (this.random() < otherRegionPingsPerSecond / localCount) {
			picked.push(...this.#pickByRegion(false));
		}

		return picked;
	}

	/** Picks a partner for an anti-entropy sync; in a large data centre mostly a local member. */
	pickSyncPartner(): Member | undefined {
		const localCount = this.table.findServers(this.self.dataCentre).size;
		const {remoteSyncsPerInterval, maxRemoteSyncShare, otherRegionSyncShare} = gossipLimits;
		const isRemote =
			this.random() < Math.min(maxRemoteSyncShare, remoteSyncsPerInterval / localCount);
		const remotePartners = this.#pickByRegion(this.random() >= otherRegionSyncShare);
		const [localPartner] = this.pickLocal(1);
		return isRemote ? (remotePartners[0] ?? localPartner) : (localPartner ?? remotePartners[0]);
	}

	/** Picks a dead member in some ticks, to detect that it runs again. */
	pickDeadPingTarget(): Member | undefined {
		if (this.table.dead.size === 0 || this.random() >= gossipLimits.deadPingShare) {
			return undefined;
		}

		const servers = [...this.table.dead];
		return this.table.findMember(servers[Math.floor(this.random() * servers.length)]!);
	}

	/** Picks one member of a remote data centre, inside or outside the local region. */
	#pickByRegion(isLocalRegion: boolean): Member[] {
		const dataCentres: string[] = [];
		for (const dataCentre of this.table.dataCentres) {
			if (
				dataCentre !== this.self.dataCentre &&
				this.#isInLocalRegion(dataCentre) === isLocalRegion
			) {
				dataCentres.push(dataCentre);
			}
		}

		const picked = dataCentres[Math.floor(this.random() * dataCentres.length)];
		return picked === undefined ? [] : this.#pickFrom(this.table.findServers(picked), 1);
	}

	#isInLocalRegion(dataCentre: string): boolean {
		const [server] = this.table.findServers(dataCentre);
		return server !== undefined && this.table.findMember(server)?.region === this.self.region;
	}

	#pickFrom(
		servers: ReadonlySet<string>,
		maxCount: number,
		canPick: (member: Member) => boolean = () => true,
	): Member[] {
		const names = [...servers];
		const picked = new Map<string, Member>();
		for (let draw = 0; draw < maxCount + extraDraws && picked.size < maxCount; draw++) {
			const server = names[Math.floor(this.random() * names.length)];
			const member = server === undefined ? undefined : this.table.findMember(server);
			if (member && member.server !== this.self.server && canPick(member)) {
				picked.set(member.server, member);
			}
		}

		return [...picked.values()];
	}
}
