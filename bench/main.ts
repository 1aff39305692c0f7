#!/usr/bin/env -S npx tsx
/**
 * The bench: runs one scenario and prints its figures; the last line is one JSON object.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {loadScenario, scenarioNames} from './scenarios/registry.ts';
import {type ScenarioResult} from './scenarios/types.ts';

const usage = `usage: npm run bench -- SCENARIO --seed N --json
scenarios: ${scenarioNames.join(', ')}
`;

/** Prints the figures of each variant as a table. */
function renderFigures(result: ScenarioResult): string {
	const lines: string[] = [];
	for (const [variant, figures] of Object.entries(result.variants)) {
		const parts: string[] = [];
		for (const [name, value] of Object.entries(figures)) {
			parts.push(`${name}=${typeof value === 'number' ? Number(value.toFixed(4)) : value}`);
		}

		lines.push(`${variant.padEnd(9)} ${parts.join(' ')}`);
	}

	lines.push(`premise   ${JSON.stringify(result.premise)}`);
	return `${lines.join('\n')}\n`;
}

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {seed: {type: 'string', default: '1'}, json: {type: 'boolean', default: false}},
});
const [name] = positionals;
const scenario = name === undefined ? undefined : await loadScenario(name);
const seed = Number(values.seed);
if (scenario === undefined || !Number.isSafeInteger(seed)) {
	process.stderr.write(usage);
	process.exit(2);
}

const result = await scenario.run({seed});
if (!values.json) {
	process.stdout.write(renderFigures(result));
}

process.stdout.write(`${JSON.stringify(result)}\n`);
process.exit(result.premise.holds ? 0 : 1);
