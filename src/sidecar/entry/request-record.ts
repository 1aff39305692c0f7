/** Builds the log record of a finished request. */
import {type RequestRecord} from '../reporting/request-log.ts';
import {type Route} from '../types.ts';
import {type CallerRequest} from './caller-request.ts';
import {type AttemptHistory} from './attempt-history.ts';
import {type EntryContext} from './entry-context.ts';

/** State of a request when it ends; stages that it did not reach are undefined. */
export type FinishedRequest = {
	readonly caller: CallerRequest;
	readonly route: Route | undefined;
	readonly service: string;
	readonly history: AttemptHistory | undefined;
	readonly status: number;
	readonly outcome: string;
	readonly tookMs: number;
	readonly reportAgeMs: number;
	readonly ctx: Pick<EntryContext, 'readRoutes' | 'readCallerService'>;
};

/**
 * Creates the log record of a request. `configVersion` is -1 when no configuration was known.
 *
 * @example
 * log.recordRequest(createRequestRecord(finishedRequest));
 */
export function createRequestRecord(request: FinishedRequest): RequestRecord {
	const {ctx, caller, route, history, service} = request;
	const {status, outcome, tookMs} = request;
	return {
		requestId: caller.head.requestId,
		route: route?.name ?? '',
		path: route === undefined ? (caller.request.url ?? '') : '',
		service,
		callerService: ctx.readCallerService(),
		status,
		outcome,
		tookMs,
		...createHistoryFields(history),
		configVersion: ctx.readRoutes()?.config.version ?? -1,
		deadlineMs: caller.head.deadlineMs ?? 0,
		reportAgeMs: request.reportAgeMs,
	};
}

function createHistoryFields(history: AttemptHistory | undefined) {
	const member = history?.lastView?.member;
	return {
		sends: history?.triedInstances.size ?? 0,
		arrivals: history?.arrivals ?? 0,
		lastReason: history?.lastReason ?? '',
		lastInstance: member?.instance ?? '',
		serverId: member?.serverId ?? '',
		digest: history?.digest ?? '',
	};
}
