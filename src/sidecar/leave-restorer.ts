/** Decides what becomes of a leave of the local server that an announcement of this instance names. */
import {type Logger} from '../reporting/logger.ts';
import {type Announcer} from './discovery/announcer.ts';
import {type LocalServer} from './guard/local-server.ts';
import {isEstablished} from './guard/local-server-state.ts';
import {type Member} from './types.ts';

export type LeaveRestorerOptions = {
	readonly server: Pick<LocalServer, 'state' | 'restoreLeave'>;
	readonly announcer: Pick<Announcer, 'isOwn'>;
	readonly logger: Logger;
};

export class LeaveRestorer {
	/**
	 * @example
	 * const leaves = LeaveRestorer.create(options);
	 * leaves.apply(member);
	 */
	static create(options: LeaveRestorerOptions): LeaveRestorer {
		return new LeaveRestorer(options);
	}

	#deniedStartMs: number | undefined;

	private constructor(private readonly options: LeaveRestorerOptions) {}

	/** Start of the server whose leave another writer has named. */
	get deniedStartMs(): number | undefined {
		return this.#deniedStartMs;
	}

	/**
	 * Restores a leave that an earlier process of this sidecar acknowledged. One with an epoch that this instance has not
	 * given out is denied if the server has gone on to report that it is ready.
	 */
	apply(member: Member | undefined): void {
		const startedAtMs = member?.leftStartMs;
		if (member === undefined || startedAtMs === undefined || startedAtMs === this.#deniedStartMs) {
			return;
		}

		const {server, announcer, logger} = this.options;
		const {serverId: id, epoch} = member;
		const {state} = server;
		const isPresent = state?.id === id && state.startedAtMs === startedAtMs;
		const isInUse = isPresent && state.leavingSinceMs === undefined && state.isConfirmed;
		if (!announcer.isOwn(member) && isInUse && isEstablished(state)) {
			this.#deniedStartMs = startedAtMs;
			logger.warn({serverId: id, epoch}, 'denied a leave that another writer has named');
			return;
		}

		server.restoreLeave({id, startedAtMs}, performance.now());
	}
}
