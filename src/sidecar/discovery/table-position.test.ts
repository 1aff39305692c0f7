/** Versions of different eras must never be compared with each other (CONFIG after a restored store). */
import test from 'ava';
import fc from 'fast-check';
import {comparePositions, decideOnRelay} from './table-position.ts';

const position = fc.record({era: fc.nat(3), version: fc.nat(20)});

test('a relay is applied only within the known era, and only if nothing before it is missing', t => {
	t.notThrows(() => {
		fc.assert(
			fc.property(position, position, position, (known, first, second) => {
				const isSorted = comparePositions(first, second) <= 0;
				const range = isSorted ? {base: first, position: second} : {base: second, position: first};
				const decision = decideOnRelay(known, range);
				const continues = range.base.era === known.era && range.base.version <= known.version;
				switch (decision) {
					case 'ignored': {
						return comparePositions(range.position, known) <= 0;
					}

					case 'applied': {
						return continues && range.position.era === known.era;
					}

					case 'gap': {
						return !continues && range.position.era === known.era;
					}

					case 'restored': {
						return continues && range.position.era > known.era;
					}

					case 'behind': {
						return !continues && range.position.era > known.era;
					}
				}
			}),
			{seed: 26, numRuns: 2000},
		);
	});
});
