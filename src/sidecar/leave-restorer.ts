/** Decides what becomes of a leave of the local server that an announcement of this instance names. */
import {type Logger} from '../reporting/logger.ts';
import {type Announcer} from './discovery/announcer.ts';
import {type LocalServer} from './guard/local-server.ts';
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

	/** Restores a leave that an earlier process of this sidecar acknowledged, and denies one that none of them has. */
	apply(member: Member | undefined): void {
		const startedAtMs = member?.leftStartMs;
		if (member === undefined || startedAtMs === undefined || startedAtMs === this.#deniedStartMs) {
			return;
		}

		const {server, announcer, logger} = this.options;
		const {serverId: id, epoch} = member;
		if (announcer.isOwn(member)) {
			server.restoreLeave({id, startedAtMs}, performance.now());
			return;
		}

		const {state} = server;
		const isPresent = state?.id === id && state.startedAtMs === startedAtMs;
		if (isPresent && state.isConfirmed && state.leavingSinceMs === undefined) {
			this.#deniedStartMs = startedAtMs;
			logger.warn({serverId: id, epoch}, 'denied a leave that another writer has named');
		}
	}
}
