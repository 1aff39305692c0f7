#!/usr/bin/env -S npx tsx
/**
 * Runs one bench scenario and prints its metrics. The last line is one JSON object. Exits with 1 if
 * the premise of the scenario doesn't hold, and with 2 on wrong arguments.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {loadScenario, scenarioNames} from './scenarios/registry.ts';
import {type ScenarioResult} from './scenarios/types.ts';

const usage = `usage: npm run bench -- SCENARIO --seed N --json
scenarios: ${scenarioNames.join(', ')}
`;

/** Renders the metrics of each variant as a table. */
function renderMetrics(result: ScenarioResult): string {
	const lines: string[] = [];
	for (const [variant, metrics] of Object.entries(result.variants)) {
		const parts: string[] = [];
		for (const [name, value] of Object.entries(metrics)) {
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
	process.stdout.write(renderMetrics(result));
}

process.stdout.write(`${JSON.stringify(result)}\n`);
process.exit(result.premise.holds ? 0 : 1);
