/**
 * Monotonic clock for the daemon's decisions; Unix time is used only for stored and exchanged records.
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
