/**
 * Decides whether to retry a call after an attempt has ended.
 */
import {type NotRunReason, type Outcome} from '../call/types.ts';

/** State of a call after an attempt has ended. */
export type RetryInput = {
	readonly outcome: Outcome;
	/** Whether the call may run twice without harm. */
	readonly idempotent: boolean;
	/** Number of attempts, including the one that has just ended. */
	readonly attempts: number;
	readonly deadlineLeftMs: number;
	/** Retries that the call has left to spend. */
	readonly available: number;
	/** Number of servers of the service that this call has not tried. */
	readonly untriedServerCount: number;
	/** Whether most servers of the service currently refuse calls because of overload. */
	readonly isOverloaded: boolean;
	/** Mean latency of the service. */
	readonly meanLatencyMs: number;
};

/** Why a call is not retried. */
export const stopReasons = {
	answered: 'answered',
	mayHaveRun: 'may-have-run',
	noAllowance: 'no-allowance',
	deadline: 'deadline',
	overloaded: 'overloaded',
	permanent: 'permanent',
	noServer: 'no-server',
} as const;

export type StopReason = (typeof stopReasons)[keyof typeof stopReasons];

export type RetryDecision =
	/** End the call with the outcome of the last attempt. */
	| {readonly kind: 'stop'; readonly reason: StopReason}
	/** After the delay, retry on a server that was not tried. */
	| {readonly kind: 'elsewhere'; readonly delayMs: number}
	/** After the delay, retry on any server, since all were tried. */
	| {readonly kind: 'again'; readonly delayMs: number};

const baseBackoffMs = 10;
const maxBackoffMs = 250;
/** Response statuses that indicate a temporary failure of the backend server. */
const transientStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** Where a refused call may be retried: nowhere, on other servers only, or on any server. */
type RetryTarget = 'never' | 'elsewhereOnly' | 'anywhere';

/** Finds where a retry could succeed after a refusal. */
function findRetryTarget(reason: NotRunReason): RetryTarget {
	switch (reason) {
		case 'overload':
		case 'draining': {
			return 'elsewhereOnly';
		}

		case 'connect': {
			return 'anywhere';
		}

		case 'deadline':
		case 'no-server':
		case 'bad-request':
		case 'unknown-call':
		case 'claim-unavailable':
		case 'link-budget':
		case 'cancelled':
		case 'wrong-instance':
		case 'key-mismatch':
		case 'parent-ended':
		case 'too-deep': {
			return 'never';
		}
	}
}

/** Finds the reason why the outcome itself rules out a retry, if there is one. */
function findStopReason(input: RetryInput): StopReason | undefined {
	const {outcome, idempotent} = input;
	switch (outcome.kind) {
		case 'answered': {
			return idempotent && transientStatuses.has(outcome.status) ? undefined : stopReasons.answered;
		}

		case 'notRun': {
			return findRetryTarget(outcome.reason) === 'never' ? stopReasons.permanent : undefined;
		}

		case 'unknown':
		case 'failed': {
			return idempotent ? undefined : stopReasons.mayHaveRun;
		}
	}
}

/** Whether the outcome is a refusal that the same server would repeat. */
function requiresOtherServer(outcome: Outcome): boolean {
	return outcome.kind === 'notRun' && findRetryTarget(outcome.reason) === 'elsewhereOnly';
}

/**
 * Computes an exponential backoff with full jitter.
 *
 * @param random - uniform in [0, 1)
 * @returns milliseconds
 * @example
 * computeRetryDelayMs(2, () => 0.5); // 10 ms
 */
export function computeRetryDelayMs(attempts: number, random: () => number): number {
	const ceilingMs = Math.min(maxBackoffMs, baseBackoffMs * 2 ** Math.max(0, attempts - 1));
	return ceilingMs * random();
}

/**
 * Decides whether and how to retry a call after an attempt. Spend the allowance before sending.
 *
 * The first retry on another server has no delay; others back off exponentially.
 *
 * A call that is not idempotent is retried only if it is certain that it did not run (`notRun`). A call
 * refused because of overload is not retried once every server has refused it or while most servers of
 * the service refuse calls, since the extra attempts would sustain the overload.
 *
 * @param random - uniform in [0, 1)
 * @example
 * const decision = chooseRetry(input, random);
 */
export function chooseRetry(input: RetryInput, random: () => number): RetryDecision {
	const stop = findStopReason(input);
	if (stop !== undefined) {
		return {kind: 'stop', reason: stop};
	}

	if (input.available < 1) {
		return {kind: 'stop', reason: stopReasons.noAllowance};
	}

	if (input.isOverloaded) {
		return {kind: 'stop', reason: stopReasons.overloaded};
	}

	const elsewhere = input.untriedServerCount > 0;
	if (!elsewhere && requiresOtherServer(input.outcome)) {
		return {kind: 'stop', reason: stopReasons.noServer};
	}

	const isFirstElsewhere = elsewhere && input.attempts === 1;
	const delayMs = isFirstElsewhere ? 0 : computeRetryDelayMs(input.attempts, random);
	if (delayMs + input.meanLatencyMs >= input.deadlineLeftMs) {
		return {kind: 'stop', reason: stopReasons.deadline};
	}

	return {kind: elsewhere ? 'elsewhere' : 'again', delayMs};
}
