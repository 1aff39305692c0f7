/**
 * Records of all members that a daemon knows, with digests to compare them with another daemon's.
 */
import {computeHash, hashRange} from './hash.ts';
import {compareRecords} from './precedence.ts';
import {type Member} from './types.ts';

/** Buckets of the digests; a bucket holds the members whose names share a hash. */
export const bucketCount = 64;

/** A member as this daemon knows it. */
export type MemberEntry = {
	readonly member: Member;
	/** Milliseconds of the monotonic clock at which the record's state was taken over. */
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
	/** Sum of the hashes of the members of each bucket. */
	readonly #digests: number[];
	/** Names of the members of each data centre that are not dead. */
	readonly #dataCentres = new Map<string, Set<string>>();
	readonly #dead = new Set<string>();
	readonly #suspects = new Set<string>();

	private constructor() {
		this.#buckets = Array.from({length: bucketCount}, () => new Set());
		this.#digests = Array.from({length: bucketCount}, () => 0);
	}

	/** Members that are not dead. */
	get liveCount(): number {
		return this.#entries.size - this.#dead.size;
	}

	get suspects(): ReadonlySet<string> {
		return this.#suspects;
	}

	get dead(): ReadonlySet<string> {
		return this.#dead;
	}

	/** Names of the data centres with a member that is not dead. */
	get dataCentres(): Iterable<string> {
		return this.#dataCentres.keys();
	}

	findMember(server: string): Member | undefined {
		return this.#entries.get(server)?.member;
	}

	findEntry(server: string): MemberEntry | undefined {
		return this.#entries.get(server);
	}

	/** Names of the members of a data centre that are not dead. */
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
	 * Takes over a record that goes before the known one; false when the known one stands.
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
			this.#unlink(known.member);
		}

		const policyVersion = computePolicyVersion(member, known?.member);
		this.#link({...member, policyVersion}, nowMs);
		return true;
	}

	/** Notes the policy that a member says it has in force; that is no change of its record. */
	setPolicyVersion(server: string, instanceId: string, policyVersion: number): void {
		const known = this.#entries.get(server);
		if (known?.member.instanceId !== instanceId || known.member.policyVersion >= policyVersion) {
			return;
		}

		this.#entries.set(server, {...known, member: {...known.member, policyVersion}});
	}

	/** Removes a record altogether. */
	remove(server: string): void {
		const known = this.#entries.get(server);
		if (!known) {
			return;
		}

		this.#unlink(known.member);
		this.#entries.delete(server);
		this.#buckets[findBucket(server)]?.delete(server);
	}

	/** Digests of all buckets; the dead do not count, since daemons forget them at different times. */
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

	/** Lists the records of a bucket, the dead among them. */
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

	#link(member: Member, nowMs: number): void {
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

	#unlink(member: Member): void {
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
 * Finds the bucket of a server name.
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

/** An instance's policy version never falls. */
function computePolicyVersion(member: Member, known: Member | undefined): number {
	return known?.instanceId === member.instanceId
		? Math.max(member.policyVersion, known.policyVersion)
		: member.policyVersion;
}
