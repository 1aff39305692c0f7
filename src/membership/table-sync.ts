/**
 * Anti-entropy between two member tables: compares the digests of their buckets and finds the
 * records to exchange.
 */
import {type MemberTable} from './member-table.ts';
import {compareRecords} from './precedence.ts';
import {gossipLimits} from './settings.ts';
import {type Member} from './types.ts';

/** The records of all or some of the buckets whose digests differ. */
export type SyncPayload = {
	readonly buckets: readonly number[];
	readonly members: readonly Member[];
	readonly hasMore: boolean;
};

/**
 * Creates the payload of the response to another daemon's digests: complete buckets, up to the
 * limit of one message.
 *
 * @example
 * const payload = createSyncPayload(table, request.digests);
 */
export function createSyncPayload(table: MemberTable, digests: readonly number[]): SyncPayload {
	const differing = table.listDifferingBuckets(digests);
	const buckets: number[] = [];
	const members: Member[] = [];
	for (const bucket of differing) {
		const records = table.listBucket(bucket);
		if (buckets.length > 0 && members.length + records.length > gossipLimits.membersPerSync) {
			break;
		}

		buckets.push(bucket);
		members.push(...records);
	}

	return {buckets, members, hasMore: buckets.length < differing.length};
}

/**
 * Lists the records that take precedence over those in another daemon's response, or are missing
 * there.
 *
 * @example
 * const records = listNewerRecords(table, response);
 */
export function listNewerRecords(table: MemberTable, payload: SyncPayload): Member[] {
	const remoteRecords = new Map<string, Member>();
	for (const member of payload.members) {
		remoteRecords.set(member.server, member);
	}

	const newer: Member[] = [];
	for (const bucket of payload.buckets) {
		for (const member of table.listBucket(bucket)) {
			const remote = remoteRecords.get(member.server);
			const isMissing = remote === undefined && member.state !== 'dead';
			if (isMissing || (remote && compareRecords(member, remote) > 0)) {
				newer.push(member);
			}
		}
	}

	return newer.slice(0, gossipLimits.membersPerSync);
}
