/**
 * Comparison of this daemon's member table with those of others, at a low rate and at its start.
 */
import {type LocalView} from './local-view.ts';
import {type Endpoint, type GossipRequest, type GossipResponse} from './messages.ts';
import {type Outbox} from './outbox.ts';
import {type PeerChoice} from './peer-choice.ts';
import {gossipLimits} from './settings.ts';
import {listNewerRecords} from './table-sync.ts';
import {type Member} from './types.ts';

/** What the repair works with. */
export type TableRepairParts = {
	readonly view: LocalView;
	readonly outbox: Outbox;
	readonly peers: PeerChoice;
	/** Gives numbers from 0 up to 1. */
	readonly random: () => number;
};

export class TableRepair {
	/**
	 * @example
	 * const repair = TableRepair.create({view, outbox, peers, random: Math.random});
	 */
	static create(parts: TableRepairParts): TableRepair {
		return new TableRepair(parts);
	}

	#seeds: readonly Endpoint[] = [];
	#nextSyncMs = 0;
	#nextSeedMs = 0;
	#promptTries = 0;

	private constructor(private readonly parts: TableRepairParts) {}

	get hasSeeds(): boolean {
		return this.#seeds.length > 0;
	}

	/** Takes over seeds and tries some of the unknown ones soon. */
	setSeeds(endpoints: readonly Endpoint[]): void {
		this.#seeds = endpoints;
		this.#nextSeedMs = 0;
		this.#promptTries = gossipLimits.promptSeedTries;
	}

	/** Starts the comparisons that are due; before the first one ended, with a seed at every tick. */
	runWhenDue(nowMs: number): void {
		const {view, random} = this.parts;
		if (nowMs >= this.#nextSeedMs || !view.self.isJoined) {
			this.#promptTries--;
			this.#nextSeedMs = nowMs + (this.#promptTries > 0 ? 0 : gossipLimits.seedIntervalMs);
			this.#syncWithSeed();
		}

		if (nowMs >= this.#nextSyncMs) {
			this.#nextSyncMs = nowMs + gossipLimits.syncIntervalMs * (0.5 + random());
			this.#syncWithMember(gossipLimits.maxSyncRounds);
		}
	}

	/** Merges the records of another daemon, sends it those that it lacks, and goes on if need be. */
	settle(response: GossipResponse, roundsLeft: number, nowMs: number): void {
		const {view} = this.parts;
		view.recordAnswer(response.from.dataCentre, nowMs);
		if (response.kind !== 'members') {
			return;
		}

		for (const member of response.members) {
			view.mergeSynced(member, nowMs);
		}

		const newer = listNewerRecords(view.table, response);
		if (newer.length > 0) {
			this.push(response.from, newer);
		}

		if (!response.hasMore) {
			view.self.setJoined();
			return;
		}

		if (roundsLeft > 1) {
			this.#syncWithMember(roundsLeft - 1);
		}
	}

	/** Sends records that should not wait for the next ping. */
	push(target: Member, records: readonly Member[] = []): void {
		const {view, outbox} = this.parts;
		const envelope = view.createEnvelope(target);
		const deltas = [...envelope.deltas, ...records];
		const request: GossipRequest = {...envelope, kind: 'push', deltas};
		outbox.send(target, request, {kind: 'push'}, gossipLimits.syncTimeoutMs);
	}

	/** Compares tables with a seed that is no known member: it may know another part of them. */
	#syncWithSeed(): void {
		const known = new Set<string>();
		for (const {address, peerPort} of this.parts.view.table.listLive()) {
			known.add(`${address}:${peerPort}`);
		}

		const unknown = this.#seeds.filter(
			({address, peerPort}) => !known.has(`${address}:${peerPort}`),
		);
		const seed = unknown[Math.floor(this.parts.random() * unknown.length)];
		if (seed) {
			this.#sync(seed, gossipLimits.maxSyncRounds);
		}
	}

	#syncWithMember(roundsLeft: number): void {
		const partner = this.parts.peers.pickSyncPartner();
		if (partner) {
			this.#sync(partner, roundsLeft, partner);
		}
	}

	#sync(to: Endpoint, roundsLeft: number, partner?: Member): void {
		const {view, outbox} = this.parts;
		const digests = view.table.listDigests();
		const request: GossipRequest = {...view.createEnvelope(partner), kind: 'sync', digests};
		outbox.send(to, request, {kind: 'sync', roundsLeft}, gossipLimits.syncTimeoutMs);
	}
}
