/**
 * Selects a few daemons of a data centre for a task without a consensus protocol.
 */
import {computeHash} from './hash.ts';
import {type Member} from './types.ts';

/**
 * Returns whether a daemon is among the `count` running members of its data centre with the lowest
 * rank, which is a hash of the name. Daemons with different member lists may get different results,
 * so the task must be safe to run more than once.
 *
 * @example
 * const isPoller = isAmongLowestRanked(self, gossip.listMembers(), 3);
 */
export function isAmongLowestRanked(
	self: Member,
	members: readonly Member[],
	count: number,
): boolean {
	const ownRank = computeRank(self);
	let before = 0;
	for (const member of members) {
		if (!isCandidate(member, self)) {
			continue;
		}

		before += computeRank(member) < ownRank ? 1 : 0;
		if (before >= count) {
			return false;
		}
	}

	return true;
}

function computeRank(member: Member): number {
	return computeHash(`${member.dataCentre}/${member.server}`);
}

function isCandidate(member: Member, self: Member): boolean {
	const isRunning = member.state === 'serving' || member.state === 'cold';
	return isRunning && member.dataCentre === self.dataCentre && member.server !== self.server;
}
