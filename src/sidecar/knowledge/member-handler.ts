/** Takes announcements, whether they come from the store or from peers. */
import {type Logger} from '../../reporting/logger.ts';
import {type Member} from '../types.ts';
import {type Directory} from './directory.ts';

export type MemberHandlerOptions = {
	/** The own instance. */
	readonly instance: string;
	readonly directory: Directory;
	readonly logger: Logger;
	/** Takes what others believe of the own instance. */
	handleOwn(member: Member): void;
};

/**
 * Creates the handler of announcements.
 *
 * @example
 * const handleMember = createMemberHandler({instance, directory, logger, handleOwn});
 * handleMember(member);
 */
export function createMemberHandler(options: MemberHandlerOptions): (member: Member) => void {
	const {directory, logger} = options;
	return member => {
		if (member.instance === options.instance) {
			// Of the own server the sidecar knows more than any announcement says.
			options.handleOwn(member);
			return;
		}

		if (directory.apply(member)) {
			const {instance, service, state, serverId, epoch} = member;
			logger.info({instance, service, state, serverId, epoch}, 'member has changed');
		}
	};
}
