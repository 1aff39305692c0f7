/**
 * Sorts and counts members for the router.
 */
import {type Member} from '../membership/types.ts';

/**
 * Lists the members of each service.
 *
 * @example
 * const byService = listByService(members);
 */
export function listByService(members: readonly Member[]): Map<string, Member[]> {
	const groups = new Map<string, Member[]>();
	for (const member of members) {
		const list = groups.get(member.service);
		if (list === undefined) {
			groups.set(member.service, [member]);
		} else {
			list.push(member);
		}
	}

	return groups;
}

/**
 * Counts the members of a region that are not known to be dead.
 *
 * @example
 * const count = countAlive(members, 'qc-est');
 */
export function countAlive(members: readonly Member[], region: string): number {
	let count = 0;
	for (const member of members) {
		count += member.region === region && member.state !== 'dead' ? 1 : 0;
	}

	return count;
}
