/**
 * Precedence between two records of one server.
 */
import {type Member, type MemberState} from './types.ts';

const stateRanks: Readonly<Record<MemberState, number>> = {
	cold: 0,
	serving: 1,
	suspect: 2,
	leaving: 3,
	dead: 4,
};

/**
 * Compares two records of one server; the result is positive when `a` takes precedence over `b`.
 *
 * Of two instances, the later start takes precedence. Incarnations are compared only within one
 * instance, as they are not comparable across instances.
 *
 * @example
 * if (compareRecords(received, known) > 0) replace(known, received);
 */
export function compareRecords(a: Member, b: Member): number {
	if (a.instanceId !== b.instanceId) {
		const startOrder = a.startedAtMs - b.startedAtMs;
		return startOrder === 0 ? compareText(a.instanceId, b.instanceId) : startOrder;
	}

	if (a.incarnation !== b.incarnation) {
		return a.incarnation - b.incarnation;
	}

	return stateRanks[a.state] - stateRanks[b.state];
}

function compareText(a: string, b: string): number {
	return a < b ? -1 : 1;
}
