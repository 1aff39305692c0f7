/**
 * Service times measured per call name, and the size classes learned from them.
 */
import {type SizeClass} from '../call/types.ts';

const maxNames = 256;
const meanWeight = 0.1;
/** Weight of a sample in the slow mean that the baseline follows. */
const slowWeight = 0.02;
/** Rise of the baseline per sample, as a share of its distance to the slow mean. */
const baseRiseWeight = 0.0005;
/** Samples before the baseline may fall below the mean. */
const minSamplesForBase = 50;
const leastServiceMs = 0.01;
/** Weights of the lower estimate: it falls fast and rises slowly. */
const lowFallWeight = 0.3;
const lowRiseWeight = 0.03;
/** Weight of one step of the typical service time, relative to itself. */
const typicalStep = 0.05;
/** A call is long when it takes this many times the service's typical time. */
const longFactor = 8;
/** A long call becomes short again below this many times the typical time. */
const shortAgainFactor = 4;
const minSamplesToClassify = 3;
/** Without samples for this long, an estimate no longer refuses requests. */
const staleAfterMs = 1000;

type CallTimes = {
	meanMs: number;
	lowMs: number;
	slowMs: number;
	/** Mean service time at its best of late. */
	baseMs: number;
	samples: number;
	updatedAtMs: number;
	sizeClass: SizeClass;
};

/** Computes the next value of a moving mean; the first sample sets it. */
function computeMean(meanMs: number, serviceMs: number): number {
	return meanMs === 0 ? serviceMs : meanMs + (serviceMs - meanMs) * meanWeight;
}

/** Learns service times in a table of bounded size; the least recently updated name is dropped. */
export class ServiceTimes {
	/**
	 * @example
	 * const times = ServiceTimes.create();
	 */
	static create(): ServiceTimes {
		return new ServiceTimes();
	}

	readonly #calls: Map<string, CallTimes>;
	/** Median service time over all calls of the guard; 0 before the first sample. */
	#typicalMs = 0;
	#shortMs = 0;
	#longMs = 0;

	private constructor() {
		this.#calls = new Map();
	}

	/** Mean service time of the calls that ran as `sizeClass`; 0 before the first sample. */
	readMeanMs(sizeClass: SizeClass): number {
		return sizeClass === 'long' ? this.#longMs : this.#shortMs;
	}

	/** Adds the service time of one call that ran to its end as `sizeClass`. */
	record(callName: string, sizeClass: SizeClass, measuredMs: number, nowMs: number): void {
		const serviceMs = Math.max(leastServiceMs, measuredMs);
		this.#updateTypical(serviceMs);
		this.#updateMean(sizeClass, serviceMs);
		const times = this.#readOrAdd(callName, serviceMs);
		this.#updateBase(times, serviceMs);
		times.meanMs += (serviceMs - times.meanMs) * meanWeight;
		times.lowMs +=
			(serviceMs - times.lowMs) * (serviceMs < times.lowMs ? lowFallWeight : lowRiseWeight);
		times.samples++;
		times.updatedAtMs = nowMs;
		times.sizeClass = this.#classify(times);
	}

	/** Estimates how long a call takes at least; 0 when not known or no longer fresh. */
	estimateLeastMs(callName: string, nowMs: number): number {
		const times = this.#calls.get(callName);
		if (times === undefined || nowMs - times.updatedAtMs > staleAfterMs) {
			return 0;
		}

		return times.lowMs;
	}

	/** Reads the mean service time of a call when its server is not crowded; 0 when not known. */
	readBaseMs(callName: string): number {
		return this.#calls.get(callName)?.baseMs ?? 0;
	}

	/** Reads the size class learned for a call; unknown calls count as short. */
	readSizeClass(callName: string): SizeClass {
		return this.#calls.get(callName)?.sizeClass ?? 'short';
	}

	#updateTypical(serviceMs: number): void {
		if (this.#typicalMs === 0) {
			this.#typicalMs = serviceMs;
			return;
		}

		const factor = serviceMs > this.#typicalMs ? 1 + typicalStep : 1 - typicalStep;
		this.#typicalMs *= factor;
	}

	#updateMean(sizeClass: SizeClass, serviceMs: number): void {
		switch (sizeClass) {
			case 'short': {
				this.#shortMs = computeMean(this.#shortMs, serviceMs);
				break;
			}

			case 'long': {
				this.#longMs = computeMean(this.#longMs, serviceMs);
				break;
			}
		}
	}

	#updateBase(times: CallTimes, serviceMs: number): void {
		const weight = Math.max(slowWeight, 1 / (times.samples + 1));
		times.slowMs += (serviceMs - times.slowMs) * weight;
		if (times.samples < minSamplesForBase) {
			times.baseMs = times.slowMs;
			return;
		}

		const rise = (times.slowMs - times.baseMs) * baseRiseWeight;
		times.baseMs = Math.min(times.slowMs, times.baseMs + rise);
	}

	#readOrAdd(callName: string, serviceMs: number): CallTimes {
		const known = this.#calls.get(callName);
		if (known !== undefined) {
			return known;
		}

		if (this.#calls.size >= maxNames) {
			this.#removeOldest();
		}

		const added: CallTimes = {
			meanMs: serviceMs,
			lowMs: serviceMs,
			slowMs: serviceMs,
			baseMs: serviceMs,
			samples: 0,
			updatedAtMs: 0,
			sizeClass: 'short',
		};
		this.#calls.set(callName, added);
		return added;
	}

	#removeOldest(): void {
		let oldest: string | undefined;
		let oldestAtMs = Number.POSITIVE_INFINITY;
		for (const [name, times] of this.#calls) {
			if (times.updatedAtMs < oldestAtMs) {
				oldest = name;
				oldestAtMs = times.updatedAtMs;
			}
		}

		if (oldest !== undefined) {
			this.#calls.delete(oldest);
		}
	}

	#classify(times: CallTimes): SizeClass {
		if (times.samples < minSamplesToClassify) {
			return times.sizeClass;
		}

		const ratio = times.meanMs / this.#typicalMs;
		if (ratio >= longFactor) {
			return 'long';
		}

		return ratio <= shortAgainFactor ? 'short' : times.sizeClass;
	}
}
