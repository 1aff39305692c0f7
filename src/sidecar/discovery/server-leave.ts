/**
 * Keeps the leave of a server in later announcements of its instance (tombstone). A sidecar that has restarted may
 * announce a server as ready that left before, when the store has lost the leave. One that knows its server denies a leave
 * that another writer has named.
 */
import {type Member} from '../types.ts';

/**
 * Returns the announcement with the leave that is known of the same start of its server.
 *
 * @example
 * mergeLeave({...member, state: 'leaving', leftStartMs: 7}, member).state; // 'leaving'
 */
export function mergeLeave(known: Member | undefined, next: Member): Member {
	const leftStartMs = known?.leftStartMs;
	if (known === undefined || leftStartMs === undefined || known.serverId !== next.serverId) {
		return next;
	}

	const hasStartedAgain = next.serverStartMs !== undefined && next.serverStartMs > leftStartMs;
	const isDenied = next.deniedLeaveStartMs === leftStartMs;
	if (hasStartedAgain || isDenied || next.leftStartMs !== undefined) {
		return next;
	}

	return {...next, state: next.state === 'ready' ? 'leaving' : next.state, leftStartMs};
}
