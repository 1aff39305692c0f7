/**
 * Helpers that group and count members for the router.
 */
import {type Member} from '../membership/types.ts';

/**
 * Groups members by the name of their service.
 *
 * @example
 * const byService = groupByService(members);
 */
export function groupByService(members: readonly Member[]): Map<string, Member[]> {
	const byService = new Map<string, Member[]>();
	for (const member of members) {
		const list = byService.get(member.service);
		if (list === undefined) {
			byService.set(member.service, [member]);
		} else {
			list.push(member);
		}
	}

	return byService;
}

/**
 * Counts the members of a region that are not dead; suspected ones are included.
 *
 * @example
 * const count = countLiveMembers(members, 'qc-est');
 */
export function countLiveMembers(members: readonly Member[], region: string): number {
	let count = 0;
	for (const member of members) {
		count += member.region === region && member.state !== 'dead' ? 1 : 0;
	}

	return count;
}
