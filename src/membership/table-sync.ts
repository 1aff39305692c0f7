/**
 * Repair of two member tables by comparing the digests of their buckets.
 */
import {type MemberTable} from './member-table.ts';
import {compareRecords} from './precedence.ts';
import {gossipLimits} from './settings.ts';
import {type Member} from './types.ts';

/** The records of some buckets whose digests differ. */
export type SyncAnswer = {
	readonly buckets: readonly number[];
	readonly members: readonly Member[];
	readonly hasMore: boolean;
};

/**
 * Creates the answer to another daemon's digests: whole buckets, up to the limit of one message.
 *
 * @example
 * const answer = createSyncAnswer(table, request.digests);
 */
export function createSyncAnswer(table: MemberTable, digests: readonly number[]): SyncAnswer {
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
 * Lists the records that go before those of another daemon's answer, or that it lacks.
 *
 * @example
 * const records = listNewerRecords(table, answer);
 */
export function listNewerRecords(table: MemberTable, answer: SyncAnswer): Member[] {
	const theirs = new Map<string, Member>();
	for (const member of answer.members) {
		theirs.set(member.server, member);
	}

	const newer: Member[] = [];
	for (const bucket of answer.buckets) {
		for (const member of table.listBucket(bucket)) {
			const their = theirs.get(member.server);
			const isMissing = their === undefined && member.state !== 'dead';
			if (isMissing || (their && compareRecords(member, their) > 0)) {
				newer.push(member);
			}
		}
	}

	return newer.slice(0, gossipLimits.membersPerSync);
}
