/** Writes how a guard's request ended to the request log. */
import {type CallOutcome} from '../guard/call-owner.ts';
import {type GuardedCall} from '../guard/guarded-call.ts';
import {type GuardLoad} from '../link/messages.ts';
import {type RequestLog} from './request-log.ts';

/**
 * @example
 * recordOutcome(requestLog, call, outcome, guard.readLoad());
 */
export function recordOutcome(
	requestLog: RequestLog,
	call: GuardedCall,
	outcome: CallOutcome,
	load: GuardLoad,
): void {
	const {requestId, route, callerService, remainingMs} = call.head;
	const afterMs = Math.round(performance.now() - call.arrivedAtMs);
	switch (outcome.kind) {
		case 'answered': {
			break;
		}

		case 'cancelled': {
			const phase = outcome.mayHaveRun ? 'running' : 'waiting';
			requestLog.recordCancellation({requestId, route, callerService, afterMs, phase});
			break;
		}

		case 'refused':
		case 'failed': {
			requestLog.recordGuardFailure({
				requestId,
				route,
				callerService,
				reason: outcome.reason,
				mayHaveRun: outcome.kind === 'failed' && outcome.hasSent,
				afterMs,
				remainingMs: Math.round(remainingMs),
				...load,
			});
			break;
		}
	}
}
