/**
 * Clocks of the daemon: monotonic time for decisions, wall time for records only.
 */
import {performance} from 'node:perf_hooks';

/**
 * Reads the monotonic clock in milliseconds.
 *
 * @example
 * const deadlineAtMs = readMonotonicMs() + context.deadlineMs;
 */
export function readMonotonicMs(): number {
	return performance.now();
}
