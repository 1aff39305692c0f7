/**
 * Choice of a few daemons of a data centre for a job, without agreement.
 */
import {computeHash} from './hash.ts';
import {type Member} from './types.ts';

/**
 * Tells whether a daemon is among the first of its data centre by the hash of its name. Daemons that
 * see other members may come to another result, so the job must be harmless when done twice.
 *
 * @example
 * const isPoller = isAmongFirst(self, gossip.listMembers(), 3);
 */
export function isAmongFirst(self: Member, members: readonly Member[], count: number): boolean {
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
