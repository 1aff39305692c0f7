/**
 * Types and constants of the simulation in which once calls are tested.
 */
import {type OnceRequest, type OnceResult} from '../../../src/once/types.ts';

export type TableFault = 'ok' | 'unreachable' | 'fail' | 'lose' | 'late';

export type Attempt = {
	readonly request: OnceRequest;
	readonly entry: string;
	/** How often the backend server ran this attempt. */
	runCount: number;
	result?: OnceResult;
};

/** Owner of messages in transit, which the crash or freeze of a daemon doesn't stop. */
export const networkOwner = 'network';
export const maxNonces = 1000;
/** Simulated time that passes with each delivered message. */
export const stepMs = 2000;

/**
 * Formats the caller and key of a request, which together identify a once call.
 *
 * @example
 * formatRequest(request); // 'x k1'
 */
export function formatRequestKey(request: OnceRequest): string {
	return `${request.caller} ${request.key}`;
}

/**
 * Creates the answer body of the backend server for one run of a request; it names the run.
 *
 * @example
 * createAnswer(request, 1);
 */
export function createAnswerBody(request: OnceRequest, run: number): string {
	return request.key.length > 1 ? `run ${run} of ${formatRequestKey(request)}` : `run ${run}`;
}
