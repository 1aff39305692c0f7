/**
 * Service times measured per call name, and the size classes learned from them.
 */
import {type SizeClass} from '../call/types.ts';

const maxCallNames = 256;
const meanWeight = 0.1;
/** Weight of a sample in the slow mean that the baseline follows. */
const slowMeanWeight = 0.02;
/** Rise of the baseline per sample, as a share of its distance to the slow mean. */
const baselineRiseWeight = 0.0005;
/** Samples before the baseline may fall below the mean. */
const minSamplesForBaseline = 50;
const minServiceMs = 0.01;
/** Weights of the lower estimate: it falls fast and rises slowly. */
const lowerEstimateFallWeight = 0.3;
const lowerEstimateRiseWeight = 0.03;
/** Weight of one step of the typical service time, relative to itself. */
const medianStep = 0.05;
/** A call is long when it takes this many times the service's typical time. */
const longFactor = 8;
/** A long call becomes short again below this many times the typical time. */
const shortAgainFactor = 4;
const minSamplesToClassify = 3;
/** Without samples for this long, an estimate no longer refuses requests. */
const staleAfterMs = 1000;

type CallEstimate = {
	meanMs: number;
	lowerEstimateMs: number;
	slowMeanMs: number;
	/** Mean service time at its best of late. */
	baselineMs: number;
	samples: number;
	updatedAtMs: number;
	sizeClass: SizeClass;
};

/** Computes the next value of a moving mean; the first sample sets it. */
function updateMean(meanMs: number, serviceMs: number): number {
	return meanMs === 0 ? serviceMs : meanMs + (serviceMs - meanMs) * meanWeight;
}

/** Learns service times in a table of bounded size; the least recently updated name is dropped. */
export class ServiceTimeEstimator {
	/**
	 * @example
	 * const times = ServiceTimes.create();
	 */
	static create(): ServiceTimeEstimator {
		return new ServiceTimeEstimator();
	}

	readonly #calls: Map<string, CallEstimate>;
	/** Median service time over all calls of the guard; 0 before the first sample. */
	#medianMs = 0;
	#shortMeanMs = 0;
	#longMeanMs = 0;

	private constructor() {
		this.#calls = new Map();
	}

	/** Mean service time of the calls that ran as `sizeClass`; 0 before the first sample. */
	readMeanMs(sizeClass: SizeClass): number {
		return sizeClass === 'long' ? this.#longMeanMs : this.#shortMeanMs;
	}

	/** Adds the service time of one call that ran to its end as `sizeClass`. */
	record(callName: string, sizeClass: SizeClass, measuredMs: number, nowMs: number): void {
		const serviceMs = Math.max(minServiceMs, measuredMs);
		this.#updateMedian(serviceMs);
		this.#updateMean(sizeClass, serviceMs);
		const times = this.#getOrCreate(callName, serviceMs);
		this.#updateBaseline(times, serviceMs);
		times.meanMs += (serviceMs - times.meanMs) * meanWeight;
		times.lowerEstimateMs +=
			(serviceMs - times.lowerEstimateMs) *
			(serviceMs < times.lowerEstimateMs ? lowerEstimateFallWeight : lowerEstimateRiseWeight);
		times.samples++;
		times.updatedAtMs = nowMs;
		times.sizeClass = this.#classify(times);
	}

	/** Estimates how long a call takes at least; 0 when not known or no longer fresh. */
	readMinMs(callName: string, nowMs: number): number {
		const times = this.#calls.get(callName);
		if (times === undefined || nowMs - times.updatedAtMs > staleAfterMs) {
			return 0;
		}

		return times.lowerEstimateMs;
	}

	/** Reads the mean service time of a call when its server is not crowded; 0 when not known. */
	readBaselineMs(callName: string): number {
		return this.#calls.get(callName)?.baselineMs ?? 0;
	}

	/** Reads the size class learned for a call; unknown calls count as short. */
	readSizeClass(callName: string): SizeClass {
		return this.#calls.get(callName)?.sizeClass ?? 'short';
	}

	#updateMedian(serviceMs: number): void {
		if (this.#medianMs === 0) {
			this.#medianMs = serviceMs;
			return;
		}

		const factor = serviceMs > this.#medianMs ? 1 + medianStep : 1 - medianStep;
		this.#medianMs *= factor;
	}

	#updateMean(sizeClass: SizeClass, serviceMs: number): void {
		switch (sizeClass) {
			case 'short': {
				this.#shortMeanMs = updateMean(this.#shortMeanMs, serviceMs);
				break;
			}

			case 'long': {
				this.#longMeanMs = updateMean(this.#longMeanMs, serviceMs);
				break;
			}
		}
	}

	#updateBaseline(times: CallEstimate, serviceMs: number): void {
		const weight = Math.max(slowMeanWeight, 1 / (times.samples + 1));
		times.slowMeanMs += (serviceMs - times.slowMeanMs) * weight;
		if (times.samples < minSamplesForBaseline) {
			times.baselineMs = times.slowMeanMs;
			return;
		}

		const rise = (times.slowMeanMs - times.baselineMs) * baselineRiseWeight;
		times.baselineMs = Math.min(times.slowMeanMs, times.baselineMs + rise);
	}

	#getOrCreate(callName: string, serviceMs: number): CallEstimate {
		const known = this.#calls.get(callName);
		if (known !== undefined) {
			return known;
		}

		if (this.#calls.size >= maxCallNames) {
			this.#removeLeastRecentlyUpdated();
		}

		const added: CallEstimate = {
			meanMs: serviceMs,
			lowerEstimateMs: serviceMs,
			slowMeanMs: serviceMs,
			baselineMs: serviceMs,
			samples: 0,
			updatedAtMs: 0,
			sizeClass: 'short',
		};
		this.#calls.set(callName, added);
		return added;
	}

	#removeLeastRecentlyUpdated(): void {
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

	#classify(times: CallEstimate): SizeClass {
		if (times.samples < minSamplesToClassify) {
			return times.sizeClass;
		}

		const ratio = times.meanMs / this.#medianMs;
		if (ratio >= longFactor) {
			return 'long';
		}

		return ratio <= shortAgainFactor ? 'short' : times.sizeClass;
	}
}
