/**
 * Random variates of the admission trial, drawn from one seeded generator.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export type RandomSource = {
	/** Draws uniformly from 0 (inclusive) to 1 (exclusive). */
	drawUniform(): number;
	/** Draws from the exponential distribution with the given mean. */
	drawExponential(mean: number): number;
	/**
	 * Draws a service time as the sum of four exponentials (Erlang distribution), with a standard
	 * deviation of half its mean.
	 */
	drawServiceMs(meanMs: number): number;
};

const erlangStages = 4;

/**
 * Creates a random source from a seed.
 *
 * @example
 * const random = createRandomSource(1);
 */
export function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	const readUniform = () => uniformFloat64(generator);
	const readExponential = (mean: number) => -Math.log(1 - readUniform()) * mean;
	return {
		drawUniform: readUniform,
		drawExponential: readExponential,
		drawServiceMs(meanMs) {
			let total = 0;
			for (let stage = 0; stage < erlangStages; stage++) {
				total += readExponential(meanMs / erlangStages);
			}

			return total;
		},
	};
}
