/** Logs which message changed what a sidecar knows of its server. */
import {type Logger} from '../../reporting/logger.ts';
import {type ServerFacts} from '../guard/local-server-state.ts';

/**
 * Writes a line if the identity of the local server has changed.
 *
 * @param sender - address that the message came from
 * @example
 * logIdentity(logger, {before, after: server.state, sender});
 */
export function logIdentity(
	logger: Logger,
	change: {
		readonly before: ServerFacts | undefined;
		readonly after: ServerFacts | undefined;
		readonly sender: string;
	},
): void {
	const before = formatIdentity(change.before);
	const after = formatIdentity(change.after);
	if (before !== after) {
		const {sender} = change;
		logger.info({before, after, sender}, 'a message changed what is known of the local server');
	}
}

function formatIdentity(identity: ServerFacts | undefined): string {
	if (identity === undefined) {
		return '';
	}

	const {id, service, startedAtMs, slots} = identity;
	return `${id} ${service}, started at ${startedAtMs}, ${slots} slots`;
}
