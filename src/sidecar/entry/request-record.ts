/** Puts together what the log says of one request. */
import {type RequestRecord} from '../reporting/request-log.ts';
import {type Route} from '../types.ts';
import {type CallerRequest} from './caller-request.ts';
import {type AttemptHistory} from './attempt-history.ts';

/** What is known of a request when it ends; what it did not get to is undefined. */
export type FinishedRequest = {
	readonly caller: CallerRequest;
	readonly route: Route | undefined;
	readonly service: string;
	readonly history: AttemptHistory | undefined;
	readonly status: number;
	readonly outcome: string;
	readonly tookMs: number;
	readonly reportAgeMs: number;
	readonly configVersion: number | undefined;
};

/**
 * Creates the record of a request; a version of -1 says that no configuration was known.
 *
 * @example
 * log.recordRequest(createRecord(end));
 */
export function createRequestRecord(end: FinishedRequest): RequestRecord {
	const {caller, route, history, configVersion, service, status, outcome, tookMs, reportAgeMs} =
		end;
	const member = history?.lastView?.member;
	return {
		requestId: caller.head.requestId,
		route: route?.name ?? '',
		path: route === undefined ? (caller.request.url ?? '') : '',
		service,
		status,
		outcome,
		tookMs,
		sends: history?.triedInstances.size ?? 0,
		arrivals: history?.arrivals ?? 0,
		lastReason: history?.lastReason ?? '',
		lastInstance: member?.instance ?? '',
		serverId: member?.serverId ?? '',
		configVersion: configVersion ?? -1,
		deadlineMs: caller.head.deadlineMs ?? 0,
		reportAgeMs,
	};
}
