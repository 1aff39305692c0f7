/**
 * Decides whether a call is tried again after an attempt has ended.
 */
import {type NotRunReason, type Outcome} from '../call/types.ts';

/** What is known once an attempt has ended. */
export type RetryQuestion = {
	readonly outcome: Outcome;
	/** True when the call may run twice without harm. */
	readonly idempotent: boolean;
	/** Attempts that were made, the one that has just ended included. */
	readonly attempts: number;
	readonly deadlineLeftMs: number;
	/** Retries that the call has left to spend. */
	readonly available: number;
	/** Servers of the service that this call has not tried. */
	readonly untriedServers: number;
	/** Whether most servers of the service refuse work for overload at present. */
	readonly isOverloaded: boolean;
	/** Milliseconds that an answer of the service usually takes. */
	readonly expectedMs: number;
};

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
	/** Ends with the outcome of the last attempt. */
	| {readonly kind: 'stop'; readonly reason: StopReason}
	/** Waits and sends to a server that was not tried. */
	| {readonly kind: 'elsewhere'; readonly delayMs: number}
	/** Waits and sends to any server, since all were tried. */
	| {readonly kind: 'again'; readonly delayMs: number};

const baseBackoffMs = 10;
const maxBackoffMs = 250;
/** Statuses by which a backend server says that it could not serve the request now. */
const transientStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

type RetryClass = 'never' | 'elsewhereOnly' | 'anywhere';

/** Sorts the reasons of a refusal by what another attempt could change. */
function findRefusalClass(reason: NotRunReason): RetryClass {
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

/** Finds the reason why the outcome itself forbids another attempt. */
function findStop(question: RetryQuestion): StopReason | undefined {
	const {outcome, idempotent} = question;
	switch (outcome.kind) {
		case 'answered': {
			return idempotent && transientStatuses.has(outcome.status) ? undefined : stopReasons.answered;
		}

		case 'notRun': {
			return findRefusalClass(outcome.reason) === 'never' ? stopReasons.permanent : undefined;
		}

		case 'unknown':
		case 'failed': {
			return idempotent ? undefined : stopReasons.mayHaveRun;
		}
	}
}

/** Whether the outcome was a refusal that the same server would repeat. */
function isElsewhereOnly(outcome: Outcome): boolean {
	return outcome.kind === 'notRun' && findRefusalClass(outcome.reason) === 'elsewhereOnly';
}

/**
 * Computes a jittered exponential backoff; 0 for the first try on another server.
 *
 * @param random - uniform in [0, 1)
 * @returns milliseconds
 * @example
 * computeBackoffMs(2, () => 0.5); // 10
 */
export function computeBackoffMs(attempts: number, random: () => number): number {
	const ceilingMs = Math.min(maxBackoffMs, baseBackoffMs * 2 ** Math.max(0, attempts - 1));
	return ceilingMs * random();
}

/**
 * Chooses what follows an ended attempt. The caller spends the allowance before it sends.
 *
 * Only a proved `notRun` lets a call that isn't idempotent go elsewhere. A refusal for overload
 * isn't retried once every server refused it or while most of the service refuses work, since the
 * extra attempts would keep the overload alive.
 *
 * @param random - uniform in [0, 1)
 * @example
 * const decision = chooseRetry(question, random);
 */
export function chooseRetry(question: RetryQuestion, random: () => number): RetryDecision {
	const stop = findStop(question);
	if (stop !== undefined) {
		return {kind: 'stop', reason: stop};
	}

	if (question.available < 1) {
		return {kind: 'stop', reason: stopReasons.noAllowance};
	}

	if (question.isOverloaded) {
		return {kind: 'stop', reason: stopReasons.overloaded};
	}

	const elsewhere = question.untriedServers > 0;
	if (!elsewhere && isElsewhereOnly(question.outcome)) {
		return {kind: 'stop', reason: stopReasons.noServer};
	}

	const isFirstElsewhere = elsewhere && question.attempts === 1;
	const delayMs = isFirstElsewhere ? 0 : computeBackoffMs(question.attempts, random);
	if (delayMs + question.expectedMs >= question.deadlineLeftMs) {
		return {kind: 'stop', reason: stopReasons.deadline};
	}

	return {kind: elsewhere ? 'elsewhere' : 'again', delayMs};
}
