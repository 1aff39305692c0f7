/**
 * Seeded random choices for a randomised run.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** One stream of random numbers. */
export class SeededRandom {
	/**
	 * @example
	 * const random = SeededRandom.create(1);
	 */
	static create(seed: number): SeededRandom {
		return new SeededRandom(xoroshiro128plus(seed));
	}

	readonly #generator: RandomGenerator;

	private constructor(generator: RandomGenerator) {
		this.#generator = generator;
	}

	/** Returns true with the given probability. */
	pickBoolean(probability: number): boolean {
		return uniformFloat64(this.#generator) < probability;
	}

	/** Picks an integer from `min` to `max`, both included. */
	pickInteger(min: number, max: number): number {
		return uniformInt(this.#generator, min, max);
	}

	/** Picks an element of a list that is not empty. */
	pickElement<Value>(values: readonly Value[]): Value {
		return values[this.pickInteger(0, values.length - 1)]!;
	}
}
