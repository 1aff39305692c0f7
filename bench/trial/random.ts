/**
 * Random variates of the admission trial, from one seeded generator.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export type RandomSource = {
	/** Uniform from 0 to 1. */
	readUniform(): number;
	/** Exponential with the given mean. */
	readExponential(mean: number): number;
	/** Sum of four exponentials: a service time that varies by half its mean. */
	readServiceMs(meanMs: number): number;
};

const stages = 4;

/**
 * Creates a source of random numbers from a seed.
 *
 * @example
 * const random = createRandom(1);
 */
export function createRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	const readUniform = () => uniformFloat64(generator);
	const readExponential = (mean: number) => -Math.log(1 - readUniform()) * mean;
	return {
		readUniform,
		readExponential,
		readServiceMs(meanMs) {
			let total = 0;
			for (let stage = 0; stage < stages; stage++) {
				total += readExponential(meanMs / stages);
			}

			return total;
		},
	};
}
