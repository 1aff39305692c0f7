/**
 * Estimates service times per call name and derives size classes from them.
 */
import {type SizeClass} from '../call/types.ts';

const maxCallNames = 256;
/** Weight of a sample in the moving means. */
const meanWeight = 0.1;
/** Weight of a sample in the slower moving mean that the baseline follows. */
const slowMeanWeight = 0.02;
/** Rise of the baseline per sample, as a fraction of its distance to the slow mean. */
const baselineRiseWeight = 0.0005;
/** Until this many samples, the baseline equals the slow mean. */
const minSamplesForBaseline = 50;
const minServiceMs = 0.01;
/** Weights of a sample in the lower estimate, which falls quickly and rises slowly. */
const lowerEstimateFallWeight = 0.3;
const lowerEstimateRiseWeight = 0.03;
/** Step of the median estimate per sample, as a fraction of the estimate. */
const medianStep = 0.05;
/** A call becomes long when its mean service time reaches this many times the median. */
const longFactor = 8;
/** A long call becomes short again when its mean service time falls to this many times the median. */
const shortAgainFactor = 4;
const minSamplesToClassify = 3;
/** After this long without samples, an estimate no longer causes requests to be refused. */
const staleAfterMs = 1000;

type CallEstimate = {
	meanMs: number;
	lowerEstimateMs: number;
	slowMeanMs: number;
	/** Lowest recent level of the slow mean. */
	baselineMs: number;
	samples: number;
	updatedAtMs: number;
	sizeClass: SizeClass;
};

/** Returns the next value of a moving mean; the first sample initializes it. */
function computeNextMean(meanMs: number, serviceMs: number): number {
	return meanMs === 0 ? serviceMs : meanMs + (serviceMs - meanMs) * meanWeight;
}

/** Keeps estimates for a bounded number of call names; evicts the least recently updated one. */
export class ServiceTimeEstimator {
	/**
	 * @example
	 * const serviceTimes = ServiceTimeEstimator.create();
	 */
	static create(): ServiceTimeEstimator {
		return new ServiceTimeEstimator();
	}

	readonly #calls: Map<string, CallEstimate>;
	/** Estimated median service time over all calls of the guard; 0 before the first sample. */
	#medianMs = 0;
	#shortMeanMs = 0;
	#longMeanMs = 0;

	private constructor() {
		this.#calls = new Map();
	}

	/** Returns the mean service time of calls that ran as `sizeClass`; 0 before the first sample. */
	readMeanMs(sizeClass: SizeClass): number {
		return sizeClass === 'long' ? this.#longMeanMs : this.#shortMeanMs;
	}

	/** Records the service time of a completed call that ran as `sizeClass`. */
	record(callName: string, sizeClass: SizeClass, measuredMs: number, nowMs: number): void {
		const serviceMs = Math.max(minServiceMs, measuredMs);
		this.#updateMedian(serviceMs);
		this.#updateMean(sizeClass, serviceMs);
		const estimate = this.#getOrCreate(callName, serviceMs);
		this.#updateBaseline(estimate, serviceMs);
		estimate.meanMs += (serviceMs - estimate.meanMs) * meanWeight;
		estimate.lowerEstimateMs +=
			(serviceMs - estimate.lowerEstimateMs) *
			(serviceMs < estimate.lowerEstimateMs ? lowerEstimateFallWeight : lowerEstimateRiseWeight);
		estimate.samples++;
		estimate.updatedAtMs = nowMs;
		estimate.sizeClass = this.#classify(estimate);
	}

	/** Returns the estimated minimum service time of a call; 0 when unknown or stale. */
	readMinMs(callName: string, nowMs: number): number {
		const estimate = this.#calls.get(callName);
		if (estimate === undefined || nowMs - estimate.updatedAtMs > staleAfterMs) {
			return 0;
		}

		return estimate.lowerEstimateMs;
	}

	/** Returns the mean service time of a call at a server without contention; 0 when unknown. */
	readBaselineMs(callName: string): number {
		return this.#calls.get(callName)?.baselineMs ?? 0;
	}

	/** Returns the size class derived for a call; unknown calls are short. */
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
				this.#shortMeanMs = computeNextMean(this.#shortMeanMs, serviceMs);
				break;
			}

			case 'long': {
				this.#longMeanMs = computeNextMean(this.#longMeanMs, serviceMs);
				break;
			}
		}
	}

	#updateBaseline(estimate: CallEstimate, serviceMs: number): void {
		const weight = Math.max(slowMeanWeight, 1 / (estimate.samples + 1));
		estimate.slowMeanMs += (serviceMs - estimate.slowMeanMs) * weight;
		if (estimate.samples < minSamplesForBaseline) {
			estimate.baselineMs = estimate.slowMeanMs;
			return;
		}

		const rise = (estimate.slowMeanMs - estimate.baselineMs) * baselineRiseWeight;
		estimate.baselineMs = Math.min(estimate.slowMeanMs, estimate.baselineMs + rise);
	}

	#getOrCreate(callName: string, serviceMs: number): CallEstimate {
		const existing = this.#calls.get(callName);
		if (existing !== undefined) {
			return existing;
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
		for (const [name, estimate] of this.#calls) {
			if (estimate.updatedAtMs < oldestAtMs) {
				oldest = name;
				oldestAtMs = estimate.updatedAtMs;
			}
		}

		if (oldest !== undefined) {
			this.#calls.delete(oldest);
		}
	}

	#classify(estimate: CallEstimate): SizeClass {
		if (estimate.samples < minSamplesToClassify) {
			return estimate.sizeClass;
		}

		const ratio = estimate.meanMs / this.#medianMs;
		if (ratio >= longFactor) {
			return 'long';
		}

		return ratio <= shortAgainFactor ? 'short' : estimate.sizeClass;
	}
}
