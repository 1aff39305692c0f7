/**
 * Concurrency limits that are compared with the one in use.
 */
import {
	AdaptiveLimit,
	type ConcurrencyLimit,
	type LimitSample,
} from '../../src/admission/adaptive-limit.ts';

export const limitKinds = ['fixed', 'aimd', 'gradient', 'delay', 'probing'] as const;
export type LimitKind = (typeof limitKinds)[number];

/** Limit that a rule updates with each sample. */
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

/** Additive increase, multiplicative decrease when a call takes twice its baseline. */
function createAimd(ceiling: number): ConcurrencyLimit {
	let sinceCut = 0;
	return RuleLimit.create(ceiling, (limit, sample) => {
		sinceCut++;
		if (sample.serviceMs > 2 * sample.baseMs && sinceCut >= limit) {
			sinceCut = 0;
			return limit * 0.9;
		}

		return limit + 1 / limit;
	});
}

/** Gradient of the long-term mean over the short-term mean, with a tolerance and room for a queue. */
function createGradient(ceiling: number): ConcurrencyLimit {
	let short = 1;
	let long = 1;
	return RuleLimit.create(ceiling, (limit, sample) => {
		const inflation = sample.serviceMs / sample.baseMs;
		short += (inflation - short) * 0.05;
		long += (inflation - long) * 0.002;
		const gradient = Math.max(0.5, Math.min(1, (1.5 * long) / short));
		const target = limit * gradient + Math.sqrt(limit);
		return limit + (target - limit) * 0.05;
	});
}

/** Cuts while the least queueing delay inside the server stays above a target for an interval, as CoDel does. */
function createDelayTarget(ceiling: number): ConcurrencyLimit {
	const targetMs = 20;
	let least = Number.POSITIVE_INFINITY;
	let samples = 0;
	return RuleLimit.create(ceiling, (limit, sample) => {
		least = Math.min(least, sample.serviceMs - sample.baseMs);
		samples++;
		if (samples < 2 * limit) {
			return limit;
		}

		const isCrowded = least > targetMs;
		least = Number.POSITIVE_INFINITY;
		samples = 0;
		return isCrowded ? limit * 0.9 : limit + 1;
	});
}

/**
 * Creates a limit of a kind.
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
			return createAimd(ceiling);
		}

		case 'gradient': {
			return createGradient(ceiling);
		}

		case 'delay': {
			return createDelayTarget(ceiling);
		}

		case 'probing': {
			return AdaptiveLimit.create(ceiling);
		}
	}
}
