/**
 * Concurrency limits that the admission trial compares with the one in use.
 */
import {
	AdaptiveLimit,
	type ConcurrencyLimit,
	type LimitSample,
} from '../../src/admission/adaptive-limit.ts';

export const limitKinds = ['fixed', 'aimd', 'gradient', 'delay', 'probing'] as const;
export type LimitKind = (typeof limitKinds)[number];

/**
 * Concurrency limit that a function recomputes from each sample, clamped to the range from 1 to the
 * ceiling.
 */
class RuleLimit implements ConcurrencyLimit {
	static create(ceiling: number, rule: (limit: number, sample: LimitSample) => number): RuleLimit {
		return new RuleLimit(ceiling, rule);
	}

	#value: number;
	#ceiling: number;
	readonly #rule: (limit: number, sample: LimitSample) => number;

	private constructor(ceiling: number, rule: (limit: number, sample: LimitSample) => number) {
		this.#value = ceiling;
		this.#ceiling = ceiling;
		this.#rule = rule;
	}

	get limit(): number {
		return Math.max(1, Math.floor(this.#value));
	}

	setCeiling(ceiling: number): void {
		this.#ceiling = ceiling;
	}

	record(sample: LimitSample): void {
		const next = this.#rule(this.#value, sample);
		this.#value = Math.max(1, Math.min(this.#ceiling, next));
	}
}

/**
 * Additive increase, multiplicative decrease (AIMD): cuts by 10% when a request takes more than
 * twice its baseline, at most once per `limit` samples.
 */
function createAimdLimit(ceiling: number): ConcurrencyLimit {
	let samplesSinceDecrease = 0;
	return RuleLimit.create(ceiling, (limit, sample) => {
		samplesSinceDecrease++;
		if (sample.serviceMs > 2 * sample.baseMs && samplesSinceDecrease >= limit) {
			samplesSinceDecrease = 0;
			return limit * 0.9;
		}

		return limit + 1 / limit;
	});
}

/**
 * Gradient limit: the ratio of the long-term to the short-term mean latency, with a tolerance of
 * 1.5 and room for a queue of the square root of the limit.
 */
function createGradientLimit(ceiling: number): ConcurrencyLimit {
	let shortTermMean = 1;
	let longTermMean = 1;
	return RuleLimit.create(ceiling, (limit, sample) => {
		const inflation = sample.serviceMs / sample.baseMs;
		shortTermMean += (inflation - shortTermMean) * 0.05;
		longTermMean += (inflation - longTermMean) * 0.002;
		const gradient = Math.max(0.5, Math.min(1, (1.5 * longTermMean) / shortTermMean));
		const target = limit * gradient + Math.sqrt(limit);
		return limit + (target - limit) * 0.05;
	});
}

/**
 * Cuts the limit while the minimum queueing delay inside the server over an interval exceeds a target,
 * as CoDel does.
 */
function createDelayTargetLimit(ceiling: number): ConcurrencyLimit {
	const targetMs = 20;
	let minDelayMs = Number.POSITIVE_INFINITY;
	let sampleCount = 0;
	return RuleLimit.create(ceiling, (limit, sample) => {
		minDelayMs = Math.min(minDelayMs, sample.serviceMs - sample.baseMs);
		sampleCount++;
		if (sampleCount < 2 * limit) {
			return limit;
		}

		const isAboveTarget = minDelayMs > targetMs;
		minDelayMs = Number.POSITIVE_INFINITY;
		sampleCount = 0;
		return isAboveTarget ? limit * 0.9 : limit + 1;
	});
}

/**
 * Creates a concurrency limit of the given kind.
 *
 * @example
 * const limit = createLimit('aimd', 40);
 */
export function createLimit(kind: LimitKind, ceiling: number): ConcurrencyLimit {
	switch (kind) {
		case 'fixed': {
			return RuleLimit.create(ceiling, limit => limit);
		}

		case 'aimd': {
			return createAimdLimit(ceiling);
		}

		case 'gradient': {
			return createGradientLimit(ceiling);
		}

		case 'delay': {
			return createDelayTargetLimit(ceiling);
		}

		case 'probing': {
			return AdaptiveLimit.create(ceiling);
		}
	}
}
