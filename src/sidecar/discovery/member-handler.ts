/** Handles announcements from the store and from peers. */
import {type Logger} from '../../reporting/logger.ts';
import {type Member} from '../types.ts';
import {type Directory} from './directory.ts';

export type MemberHandlerOptions = {
	/** Name of this instance. */
	readonly instance: string;
	readonly directory: Directory;
	readonly logger: Logger;
	/** Handles an announcement of this instance, as known to the store or a peer. */
	handleOwnMember(member: Member): void;
	/** Called with an announcement of another instance that is newer than the known one. */
	handleUpdated(member: Member): void;
};

/**
 * Creates the handler of announcements.
 *
 * @example
 * const handleMember = createMemberHandler(options);
 * handleMember(member);
 */
export function createMemberHandler(options: MemberHandlerOptions): (member: Member) => void {
	const {directory, logger} = options;
	return member => {
		if (member.instance === options.instance) {
			// The sidecar's own state of the local server is more recent than any announcement.
			options.handleOwnMember(member);
			return;
		}

		if (directory.apply(member)) {
			options.handleUpdated(member);
			const {instance, service, state, serverId, epoch} = member;
			logger.info({instance, service, state, serverId, epoch}, 'member updated');
		}
	};
}
