/** The logs of one sidecar, as handed to its parts. */
import {type Logger} from '../../reporting/logger.ts';
import {type Scheduler} from '../scheduling/scheduler.ts';
import {MessageLog} from './message-log.ts';
import {RequestLog} from './request-log.ts';

export class SidecarLogs {
	/**
	 * @example
	 * const logs = SidecarLogs.create(logger, scheduler);
	 */
	static create(
		logger: Logger,
		scheduler: Pick<Scheduler, 'lag' | 'callerAcceptQueue'>,
	): SidecarLogs {
		return new SidecarLogs(logger, MessageLog.create(logger), RequestLog.create(logger, scheduler));
	}

	private constructor(
		readonly logger: Logger,
		readonly messageLog: MessageLog,
		readonly requestLog: RequestLog,
	) {}
}
