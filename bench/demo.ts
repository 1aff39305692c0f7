/**
 * Demo: runs the example deployment on stand-ins, applies a policy, sends HTTP calls and prints a
 * table of their results. With `--keep` all processes keep running until the demo is interrupted.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {callerTokens, lachancePolicy, listLachanceServers} from './lachance.ts';
import {TestBed} from './harness/test-bed.ts';
import {computeQuantile, LoadGenerator} from './load/load-generator.ts';
import {type CallKind, type CallSample} from './load/types.ts';

const durationMs = 10_000;

const kinds: readonly CallKind[] = [
	{
		name: 'swatch',
		method: 'GET',
		path: '/catalogue/swatches/12',
		token: callerTokens.retailer,
		ratePerSecond: 60,
	},
	{
		name: 'status',
		method: 'GET',
		path: '/catalogue/status/7',
		token: callerTokens.retailer,
		ratePerSecond: 40,
	},
	{
		name: 'cutting-plan',
		method: 'GET',
		path: '/atelier/plans/7',
		token: callerTokens.upholsterer,
		ratePerSecond: 40,
	},
	{
		name: 'cutting-order',
		method: 'POST',
		path: '/commandes/orders',
		token: callerTokens.upholsterer,
		body: '{"headboard":"tufted"}',
		hasIdempotencyKey: true,
		ratePerSecond: 20,
	},
];

/** Renders a table with one row for each kind of call. */
function renderTable(samples: readonly CallSample[]): string {
	const lines = ['call           sent  whole   shed  failed  resent  p50 ms  p99 ms  version'];
	for (const kind of kinds) {
		const kindSamples = samples.filter(sample => sample.kind === kind.name);
		const whole = kindSamples.filter(sample => sample.result === 'whole');
		const shed = kindSamples.filter(sample => sample.result === 'shed');
		const latencies = whole.map(sample => sample.latencyMs);
		let resent = 0;
		for (const sample of kindSamples) {
			resent += sample.sendCount - 1;
		}

		lines.push(
			[
				kind.name.padEnd(13),
				String(kindSamples.length).padStart(5),
				String(whole.length).padStart(6),
				String(shed.length).padStart(6),
				String(kindSamples.length - whole.length - shed.length).padStart(7),
				String(resent).padStart(7),
				computeQuantile(latencies, 0.5).toFixed(1).padStart(7),
				computeQuantile(latencies, 0.99).toFixed(1).padStart(7),
				String(whole.at(-1)?.version ?? 0).padStart(8),
			].join(' '),
		);
	}

	return `${lines.join('\n')}\n`;
}

/** Prints how to use the operators' tools on the running demo, then waits for SIGINT or SIGTERM. */
async function waitForInterrupt(settingsFile: string): Promise<void> {
	process.stdout.write(
		`\neverything keeps running; in another shell:\n  export PRIMROSEVALVE_SETTINGS=${settingsFile}\n  node dist/bin/primrosevalvectl.js status\nend with Ctrl-C\n`,
	);
	await new Promise<void>(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
}

const {values: options} = parseArgs({options: {keep: {type: 'boolean', default: false}}});
const shouldKeepRunning = options.keep;
process.stdout.write('starting the platform stand-in, 6 backend servers and 6 daemons\n');
const bed = await TestBed.start({servers: listLachanceServers(), policy: lachancePolicy, seed: 1});
try {
	const settingsFile = shouldKeepRunning ? bed.writeOperatorSettings() : '';
	process.stdout.write(
		`policy version 1 is in force on every daemon; sending calls for ${durationMs / 1000} s\n`,
	);
	const result = await LoadGenerator.create({
		ports: bed.listCallerPorts(),
		seed: 1,
		kinds,
		durationMs,
	}).run();
	process.stdout.write(renderTable(result.samples));
	const hasWhole = result.samples.some(sample => sample.result === 'whole');
	process.exitCode = hasWhole ? 0 : 1;
	if (shouldKeepRunning) {
		await waitForInterrupt(settingsFile);
	}
} finally {
	await bed.stop();
}
