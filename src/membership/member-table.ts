/**
 * Records of all known members, with digests for comparing the table with that of another daemon.
 */
import {computeHash, hashRange} from './hash.ts';
import {compareRecords} from './precedence.ts';
import {type Member} from './types.ts';

/** Number of digest buckets; a member's bucket is the hash of its name modulo this number. */
export const bucketCount = 64;

/** A member record and the time at which it was stored. */
export type MemberEntry = {
	readonly member: Member;
	/** Monotonic clock time in milliseconds at which the record was merged. */
	readonly sinceMs: number;
};

export class MemberTable {
	/**
	 * @example
	 * const table = MemberTable.create();
	 */
	static create(): MemberTable {
		return new MemberTable();
	}

	readonly #entries = new Map<string, MemberEntry>();
	readonly #buckets: Array<Set<string>>;
	/** Sum of the hashes of each bucket's live members, modulo `hashRange`. */
	readonly #digests: number[];
	/** Names of the live (not dead) members of each data centre. */
	readonly #dataCentres = new Map<string, Set<string>>();
	readonly #dead = new Set<string>();
	readonly #suspects = new Set<string>();

	private constructor() {
		this.#buckets = Array.from({length: bucketCount}, () => new Set());
		this.#digests = Array.from({length: bucketCount}, () => 0);
	}

	/** Number of members that are not dead. */
	get liveCount(): number {
		return this.#entries.size - this.#dead.size;
	}

	get suspects(): ReadonlySet<string> {
		return this.#suspects;
	}

	get dead(): ReadonlySet<string> {
		return this.#dead;
	}

	/** Names of the data centres with at least one live member. */
	get dataCentres(): Iterable<string> {
		return this.#dataCentres.keys();
	}

	findMember(server: string): Member | undefined {
		return this.#entries.get(server)?.member;
	}

	findEntry(server: string): MemberEntry | undefined {
		return this.#entries.get(server);
	}

	/** Returns the names of the live members of a data centre. */
	findServers(dataCentre: string): ReadonlySet<string> {
		return this.#dataCentres.get(dataCentre) ?? new Set();
	}

	/** Lists the members that are not dead. */
	listLive(): Member[] {
		const members: Member[] = [];
		for (const {member} of this.#entries.values()) {
			if (member.state !== 'dead') {
				members.push(member);
			}
		}

		return members;
	}

	/**
	 * Stores a record that takes precedence over the known one; returns false when the known one is
	 * kept.
	 *
	 * @example
	 * if (table.merge(received, nowMs)) queue.add(received.server);
	 */
	merge(member: Member, nowMs: number): boolean {
		const known = this.#entries.get(member.server);
		if (known && compareRecords(member, known.member) <= 0) {
			return false;
		}

		if (known) {
			this.#removeFromIndexes(known.member);
		}

		const policyVersion = computePolicyVersion(member, known?.member);
		this.#insert({...member, policyVersion}, nowMs);
		return true;
	}

	/** Records a member's policy version. This is not a change of the record that is gossiped. */
	setPolicyVersion(server: string, instanceId: string, policyVersion: number): void {
		const known = this.#entries.get(server);
		if (known?.member.instanceId !== instanceId || known.member.policyVersion >= policyVersion) {
			return;
		}

		this.#entries.set(server, {...known, member: {...known.member, policyVersion}});
	}

	/** Removes a member's record from the table. */
	remove(server: string): void {
		const known = this.#entries.get(server);
		if (!known) {
			return;
		}

		this.#removeFromIndexes(known.member);
		this.#entries.delete(server);
		this.#buckets[findBucket(server)]?.delete(server);
	}

	/**
	 * Returns the digests of all buckets. Dead members are excluded, since daemons remove them at
	 * different times.
	 */
	listDigests(): number[] {
		return [...this.#digests];
	}

	/** Lists the buckets whose digests differ from another daemon's. */
	listDifferingBuckets(digests: readonly number[]): number[] {
		const differing: number[] = [];
		for (const [bucket, digest] of this.#digests.entries()) {
			if (digest !== digests[bucket]) {
				differing.push(bucket);
			}
		}

		return differing;
	}

	/** Lists the records of a bucket, including dead members. */
	listBucket(bucket: number): Member[] {
		const members: Member[] = [];
		for (const server of this.#buckets[bucket] ?? []) {
			const entry = this.#entries.get(server);
			if (entry) {
				members.push(entry.member);
			}
		}

		return members;
	}

	#insert(member: Member, nowMs: number): void {
		const {server, dataCentre, state} = member;
		const bucket = findBucket(server);
		this.#entries.set(server, {member, sinceMs: nowMs});
		this.#buckets[bucket]?.add(server);
		if (state === 'dead') {
			this.#dead.add(server);
			return;
		}

		this.#digests[bucket] = (this.#digests[bucket]! + computeDigest(member)) % hashRange;
		if (state === 'suspect') {
			this.#suspects.add(server);
		}

		const servers = this.#dataCentres.get(dataCentre) ?? new Set();
		servers.add(server);
		this.#dataCentres.set(dataCentre, servers);
	}

	#removeFromIndexes(member: Member): void {
		const {server, dataCentre, state} = member;
		this.#dead.delete(server);
		this.#suspects.delete(server);
		if (state === 'dead') {
			return;
		}

		const bucket = findBucket(server);
		this.#digests[bucket] =
			(this.#digests[bucket]! + hashRange - computeDigest(member)) % hashRange;
		const servers = this.#dataCentres.get(dataCentre);
		servers?.delete(server);
		if (servers?.size === 0) {
			this.#dataCentres.delete(dataCentre);
		}
	}
}

/**
 * Returns the bucket of a server name.
 *
 * @example
 * const members = table.listBucket(findBucket('cat-1'));
 */
export function findBucket(server: string): number {
	return computeHash(server) % bucketCount;
}

function computeDigest(member: Member): number {
	const {server, instanceId, incarnation, state} = member;
	return computeHash(`${server}\n${instanceId}\n${incarnation}\n${state}`);
}

/** The policy version of an instance never decreases. */
function computePolicyVersion(member: Member, known: Member | undefined): number {
	return known?.instanceId === member.instanceId
		? Math.max(member.policyVersion, known.policyVersion)
		: member.policyVersion;
}
