/**
 * Monotonic clock for the daemon's decisions; wall time is used only for records.
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
