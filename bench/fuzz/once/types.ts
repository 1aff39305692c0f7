/**
 * Types and names of the world in which once calls are tried.
 */
import {type OnceRequest, type OnceResult} from '../../../src/once/types.ts';

export type TableFault = 'ok' | 'unreachable' | 'fail' | 'lose' | 'late';

export type Attempt = {
	readonly request: OnceRequest;
	readonly entry: string;
	/** Runs of this attempt on the backend server. */
	runs: number;
	result?: OnceResult;
};

/** Owner of messages that nobody's crash or freeze holds up. */
export const network = 'network';
export const maxNonces = 1000;
/** Time that passes with each message. */
export const stepMs = 2000;

/**
 * Names a request's caller and key.
 *
 * @example
 * formatRequest(request); // 'x k1'
 */
export function formatRequest(request: OnceRequest): string {
	return `${request.caller} ${request.key}`;
}

/**
 * The answer of the backend server to one run of a request.
 *
 * @example
 * createAnswer(request, 1);
 */
export function createAnswer(request: OnceRequest, run: number): string {
	return request.key.length > 1 ? `run ${run} of ${formatRequest(request)}` : `run ${run}`;
}
