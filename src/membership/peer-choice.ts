/**
 * Choice of the members that a daemon talks to besides its round of pings.
 */
import {type MemberTable} from './member-table.ts';
import {gossipLimits} from './settings.ts';
import {type Member} from './types.ts';

/** Tries at drawing a member that fits before giving up for this tick. */
const maxDraws = 8;

export class PeerChoice {
	/**
	 * `random` gives numbers from 0 up to 1.
	 *
	 * @example
	 * const choice = PeerChoice.create(table, self, Math.random);
	 */
	static create(table: MemberTable, self: Member, random: () => number): PeerChoice {
		return new PeerChoice(table, self, random);
	}

	private constructor(
		private readonly table: MemberTable,
		private readonly self: Member,
		private readonly random: () => number,
	) {}

	/** Picks different members of the own data centre. */
	pickNear(maxCount: number, canPick: (member: Member) => boolean = () => true): Member[] {
		return this.#pickFrom(this.table.findServers(this.self.dataCentre), maxCount, canPick);
	}

	/** Picks members of each other data centre. */
	pickElsewhere(maxCountEach: number): Member[] {
		const picked: Member[] = [];
		for (const dataCentre of this.table.dataCentres) {
			if (dataCentre !== this.self.dataCentre) {
				picked.push(...this.#pickFrom(this.table.findServers(dataCentre), maxCountEach));
			}
		}

		return picked;
	}

	/** Picks the members of other data centres to ping at this tick, at a rate per data centre. */
	pickFar(): Member[] {
		const near = this.table.findServers(this.self.dataCentre).size;
		const {regionPingsPerSecond, otherRegionPingsPerSecond} = gossipLimits;
		const picked: Member[] = [];
		if (this.random() < regionPingsPerSecond / near) {
			picked.push(...this.#pickByRegion(true));
		}

		if (this.random() < otherRegionPingsPerSecond / near) {
			picked.push(...this.#pickByRegion(false));
		}

		return picked;
	}

	/** Picks a partner for a comparison of the tables: mostly a near one in a large data centre. */
	pickSyncPartner(): Member | undefined {
		const near = this.table.findServers(this.self.dataCentre).size;
		const {farSyncsPerRound, maxFarSyncShare, otherRegionSyncShare} = gossipLimits;
		const isFar = this.random() < Math.min(maxFarSyncShare, farSyncsPerRound / near);
		const far = this.#pickByRegion(this.random() >= otherRegionSyncShare);
		const [nearPartner] = this.pickNear(1);
		return isFar ? (far[0] ?? nearPartner) : (nearPartner ?? far[0]);
	}

	/** Picks a dead member at some ticks, to find out that it is back. */
	pickDead(): Member | undefined {
		if (this.table.dead.size === 0 || this.random() >= gossipLimits.deadPingShare) {
			return undefined;
		}

		const servers = [...this.table.dead];
		return this.table.findMember(servers[Math.floor(this.random() * servers.length)]!);
	}

	/** Picks one member of another data centre, in the own region or outside it. */
	#pickByRegion(isOwnRegion: boolean): Member[] {
		const names: string[] = [];
		for (const dataCentre of this.table.dataCentres) {
			if (dataCentre !== this.self.dataCentre && this.#isInOwnRegion(dataCentre) === isOwnRegion) {
				names.push(dataCentre);
			}
		}

		const chosen = names[Math.floor(this.random() * names.length)];
		return chosen === undefined ? [] : this.#pickFrom(this.table.findServers(chosen), 1);
	}

	#isInOwnRegion(dataCentre: string): boolean {
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
		for (let draw = 0; draw < maxCount + maxDraws && picked.size < maxCount; draw++) {
			const server = names[Math.floor(this.random() * names.length)];
			const member = server === undefined ? undefined : this.table.findMember(server);
			if (member && member.server !== this.self.server && canPick(member)) {
				picked.set(member.server, member);
			}
		}

		return [...picked.values()];
	}
}
