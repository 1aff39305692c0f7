/**
 * Randomised run of gossip, policy sync and policy store: `npm run fuzz -- --seed N --seconds S`.
 *
 * Prints one JSON line with the seed, the number of steps, the injected faults by kind and the violations.
 * Exits with 1 after a violation or when no fault was injected.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {FuzzRun} from './fuzz/fuzz-run.ts';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		seconds: {type: 'string', default: '30'},
	},
});
const run = FuzzRun.create(Number(values.seed));
const endMs = performance.now() + Number(values.seconds) * 1000;
do {
	await run.runEpoch();
} while (performance.now() < endMs && run.readReport().violationCount === 0);

const report = run.readReport();
process.stdout.write(`${JSON.stringify(report)}\n`);
let faultCount = 0;
for (const count of Object.values(report.faults)) {
	faultCount += count;
}

process.exitCode = report.violationCount > 0 || faultCount === 0 ? 1 : 0;
