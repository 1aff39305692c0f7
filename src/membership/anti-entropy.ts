/**
 * Anti-entropy: compares this daemon's member table with those of other daemons, when it starts and
 * then periodically.
 */
import {type LocalView} from './local-view.ts';
import {type Endpoint, type GossipRequest, type GossipResponse} from './messages.ts';
import {type Outbox} from './outbox.ts';
import {type PeerSelector} from './peer-selector.ts';
import {gossipLimits} from './settings.ts';
import {listNewerRecords} from './table-sync.ts';
import {type Member} from './types.ts';

export type AntiEntropyDependencies = {
	readonly view: LocalView;
	readonly outbox: Outbox;
	readonly peers: PeerSelector;
	/** Returns numbers from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
};

export class AntiEntropy {
	/**
	 * @example
	 * const antiEntropy = AntiEntropy.create({view, outbox, peers, random: Math.random});
	 */
	static create(dependencies: AntiEntropyDependencies): AntiEntropy {
		return new AntiEntropy(dependencies);
	}

	#seeds: readonly Endpoint[] = [];
	#nextSyncMs = 0;
	#nextSeedMs = 0;
	#initialSeedAttemptsLeft = 0;

	private constructor(private readonly dependencies: AntiEntropyDependencies) {}

	get hasSeeds(): boolean {
		return this.#seeds.length > 0;
	}

	/** Replaces the seeds, and contacts some that are not known as members in the next ticks. */
	setSeeds(endpoints: readonly Endpoint[]): void {
		this.#seeds = endpoints;
		this.#nextSeedMs = 0;
		this.#initialSeedAttemptsLeft = gossipLimits.initialSeedAttempts;
	}

	/**
	 * Starts the syncs that are due. Until this daemon has joined, it syncs with a seed at every
	 * tick.
	 */
	runIfDue(nowMs: number): void {
		const {view, random} = this.dependencies;
		if (nowMs >= this.#nextSeedMs || !view.self.isJoined) {
			this.#initialSeedAttemptsLeft--;
			this.#nextSeedMs =
				nowMs + (this.#initialSeedAttemptsLeft > 0 ? 0 : gossipLimits.seedIntervalMs);
			this.#syncWithUnknownSeed();
		}

		if (nowMs >= this.#nextSyncMs) {
			this.#nextSyncMs = nowMs + gossipLimits.syncIntervalMs * (0.5 + random());
			this.#syncWithMember(gossipLimits.maxSyncRounds);
		}
	}

	/**
	 * Merges the records of another daemon and sends it the newer ones of this daemon. Starts the
	 * next sync when more buckets differ.
	 */
	handleSyncResponse(response: GossipResponse, roundsLeft: number, nowMs: number): void {
		const {view} = this.dependencies;
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

	/** Sends records at once instead of with the next ping. */
	push(target: Member, records: readonly Member[] = []): void {
		const {view, outbox} = this.dependencies;
		const envelope = view.createEnvelope(target);
		const deltas = [...envelope.deltas, ...records];
		const request: GossipRequest = {...envelope, kind: 'push', deltas};
		outbox.send(target, request, {kind: 'push'}, gossipLimits.syncTimeoutMs);
	}

	/**
	 * Syncs with a seed that is not a known member, since it may know members that this daemon does
	 * not.
	 */
	#syncWithUnknownSeed(): void {
		const known = new Set<string>();
		for (const {address, peerPort} of this.dependencies.view.table.listLive()) {
			known.add(`${address}:${peerPort}`);
		}

		const unknown = this.#seeds.filter(
			({address, peerPort}) => !known.has(`${address}:${peerPort}`),
		);
		const seed = unknown[Math.floor(this.dependencies.random() * unknown.length)];
		if (seed) {
			this.#sync(seed, gossipLimits.maxSyncRounds);
		}
	}

	#syncWithMember(roundsLeft: number): void {
		const partner = this.dependencies.peers.pickSyncPartner();
		if (partner) {
			this.#sync(partner, roundsLeft, partner);
		}
	}

	#sync(to: Endpoint, roundsLeft: number, partner?: Member): void {
		const {view, outbox} = this.dependencies;
		const digests = view.table.listDigests();
		const request: GossipRequest = {...view.createEnvelope(partner), kind: 'sync', digests};
		outbox.send(to, request, {kind: 'sync', roundsLeft}, gossipLimits.syncTimeoutMs);
	}
}
