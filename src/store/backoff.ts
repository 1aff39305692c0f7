/**
 * Capped exponential delays with full jitter between retries.
 */

export type Backoff = {
	/** Attempts in all, the first included. */
	readonly attempts: number;
	/** Upper bound of the first delay in milliseconds; it doubles with every attempt. */
	readonly baseMs: number;
	/** Upper bound of any delay in milliseconds. */
	readonly capMs: number;
};

export const defaultBackoff: Backoff = {attempts: 3, baseMs: 50, capMs: 1000};

/**
 * Computes the delay before the next attempt.
 *
 * @param attempt - number of the attempt that failed, from 1
 * @param random - a number from 0 to below 1
 * @returns milliseconds
 * @example
 * computeBackoffMs(defaultBackoff, 1, Math.random());
 */
export function computeBackoffMs(backoff: Backoff, attempt: number, random: number): number {
	const ceiling = Math.min(backoff.capMs, backoff.baseMs * 2 ** (attempt - 1));
	return Math.floor(random * ceiling);
}
