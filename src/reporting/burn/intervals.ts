/**
 * Turns counter readings into the calls between each two of them.
 */
import {type CounterSample, type CountInterval} from './types.ts';

/** Names the counter that a sample was read from; a restart makes a new counter. */
function formatCounterKey(sample: CounterSample): string {
	return JSON.stringify([sample.server, sample.instanceId, sample.service, sample.caller]);
}

/** Groups samples by counter, each group in order of time. */
function listCounters(samples: readonly CounterSample[]): Iterable<CounterSample[]> {
	const counters = new Map<string, CounterSample[]>();
	for (const sample of samples) {
		const key = formatCounterKey(sample);
		const counter = counters.get(key);
		if (counter === undefined) {
			counters.set(key, [sample]);
			continue;
		}

		counter.push(sample);
	}

	for (const counter of counters.values()) {
		counter.sort((a, b) => a.atMs - b.atMs);
	}

	return counters.values();
}

/** Reading of zero at the daemon's start. */
function createStartSample(first: CounterSample): CounterSample {
	return {...first, atMs: Math.min(first.startedAtMs, first.atMs), total: 0, good: 0};
}

/**
 * Computes the calls that ended between consecutive readings of each counter.
 *
 * A counter counts from zero at its daemon's start, so the first reading after a restart loses no calls.
 * Readings that fall (a clock set back) are left out.
 *
 * @example
 * const intervals = computeIntervals(samples);
 */
export function computeIntervals(samples: readonly CounterSample[]): readonly CountInterval[] {
	const intervals: CountInterval[] = [];
	for (const counter of listCounters(samples)) {
		let previous = createStartSample(counter[0]!);
		for (const sample of counter) {
			if (sample.atMs <= previous.atMs || sample.total < previous.total) {
				continue;
			}

			intervals.push({
				fromMs: previous.atMs,
				toMs: sample.atMs,
				service: sample.service,
				caller: sample.caller,
				total: sample.total - previous.total,
				good: Math.max(0, sample.good - previous.good),
			});
			previous = sample;
		}
	}

	return intervals;
}
