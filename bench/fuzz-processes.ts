#!/usr/bin/env -S npx tsx
/**
 * Randomised run of once calls over real daemons: `npm run fuzz:processes -- --seed N --seconds S`.
 *
 * The last line is one JSON object; the exit code is 1 after a violation or when the premise does not hold:
 * faults were injected, some calls were answered, some were not run, and every drained daemon exited with 0.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runProcesses} from './fuzz/process-run.ts';

const {values} = parseArgs({
	options: {seed: {type: 'string', default: '1'}, seconds: {type: 'string', default: '30'}},
});
const seed = Number(values.seed);
const seconds = Number(values.seconds);
if (!Number.isSafeInteger(seed) || !(seconds > 0)) {
	process.stderr.write('usage: npm run fuzz:processes -- --seed N --seconds S\n');
	process.exit(2);
}

const result = await runProcesses(seed, {kind: 'seconds', seconds});
const holds = result.steps > 0 && result.answered > 0 && result.notRun > 0 && result.badExits === 0;
process.stdout.write(`${JSON.stringify({...result, premise: {holds}})}\n`);
process.exitCode = result.violations.length === 0 && holds ? 0 : 1;
