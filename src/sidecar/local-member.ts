/** What this instance announces of its server. */
import {type LocalServerState} from './guard/local-server-state.ts';
import {type Member, type MemberState, type SidecarSettings} from './types.ts';

/**
 * Creates the announcement of the local server, without its epoch.
 *
 * @param isStopping - whether this process stops
 * @example
 * const member = createLocalMember(settings, server.state, {serverState: 'ready', isStopping: false});
 */
export function createLocalMember(
	settings: SidecarSettings,
	server: LocalServerState,
	{
		serverState,
		isStopping,
		deniedLeaveStartMs,
	}: {
		readonly serverState: MemberState;
		readonly isStopping: boolean;
		readonly deniedLeaveStartMs?: number | undefined;
	},
): Omit<Member, 'epoch'> {
	const {instance, linkAddress: link, dataCentre, region} = settings;
	const {id: serverId, service, slots, startedAtMs, leavingSinceMs} = server;
	return {
		instance,
		link,
		dataCentre,
		region,
		service,
		serverId,
		slots,
		state: isStopping ? 'leaving' : serverState,
		...(startedAtMs !== 0 && {serverStartMs: startedAtMs}),
		...(leavingSinceMs !== undefined && {leftStartMs: startedAtMs}),
		...(deniedLeaveStartMs === startedAtMs && leavingSinceMs === undefined && {deniedLeaveStartMs}),
		...(isStopping && serverState === 'ready' && {isDraining: true}),
	};
}
