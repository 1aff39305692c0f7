/**
 * Capped exponential backoff with full jitter.
 */

export type BackoffOptions = {
	/** Maximum number of attempts, including the first. */
	readonly maxAttempts: number;
	/** Upper bound of the first delay in milliseconds; it doubles with each further attempt. */
	readonly baseMs: number;
	/** Upper bound of every delay in milliseconds. */
	readonly capMs: number;
};

export const defaultBackoff: BackoffOptions = {maxAttempts: 3, baseMs: 50, capMs: 1000};

/**
 * Computes the delay before the next attempt.
 *
 * @param attempt - number of the attempt that failed, starting at 1
 * @param random - random number in [0, 1), or 1 for the upper bound of the delay
 * @returns the delay in milliseconds
 * @example
 * computeBackoffMs(defaultBackoff, 1, Math.random());
 */
export function computeBackoffMs(backoff: BackoffOptions, attempt: number, random: number): number {
	const maxDelayMs = Math.min(backoff.capMs, backoff.baseMs * 2 ** (attempt - 1));
	return Math.floor(random * maxDelayMs);
}
