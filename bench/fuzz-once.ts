#!/usr/bin/env -S npx tsx
/**
 * Randomised run of once calls in a simulation: `npm run fuzz:once -- --seed N --seconds S`.
 *
 * The last line is one JSON object; the exit code is 1 after a violation or when no fault was injected.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSequences, type SequenceCounts} from './fuzz/once/sequences.ts';

const sequencesPerSeed = 200;

/** Adds the counts of one round to the totals. */
function addCounts(totals: Record<string, number>, counts: SequenceCounts['faults']): void {
	for (const [kind, count] of Object.entries(counts)) {
		totals[kind] = (totals[kind] ?? 0) + count;
	}
}

const {values} = parseArgs({
	options: {seed: {type: 'string', default: '1'}, seconds: {type: 'string', default: '30'}},
});
const seed = Number(values.seed);
const endMs = performance.now() + Number(values.seconds) * 1000;
const faults: Record<string, number> = {};
const ends: Record<string, number> = {};
const violations: string[] = [];
let sequences = 0;
for (let round = 0; performance.now() < endMs && violations.length === 0; round++) {
	try {
		const counts = await runSequences(seed + round, sequencesPerSeed);
		addCounts(faults, counts.faults);
		addCounts(ends, counts.ends);
		sequences += sequencesPerSeed;
	} catch (error) {
		violations.push((error as Error).message);
	}
}

process.stdout.write(`${JSON.stringify({seed, sequences, faults, ends, violations})}\n`);
const hasInjectedFaults = Object.keys(faults).length > 0;
process.exitCode = violations.length === 0 && hasInjectedFaults ? 0 : 1;
