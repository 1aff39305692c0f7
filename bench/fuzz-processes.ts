#!/usr/bin/env -S npx tsx
/**
 * Randomised run of once calls through real daemons that are killed, frozen, drained and cut off.
 *
 * The last line is one JSON object; the exit code is 1 after a violation and when a premise failed.
 */
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {type LedgerEntry} from '../stand-ins/backend/run-ledger.ts';
import {computeRowKey, decodeClaim} from '../src/once/claim-row.ts';
import {mintedKeyPrefix} from '../src/once/minted-key.ts';
import {type PolicyInput} from '../src/policy/schema.ts';
import {TestBed} from './harness/test-bed.ts';
import {type ServerSpec} from './harness/types.ts';
import {OnceOracle, type Violation} from './fuzz/once-oracle.ts';
import {OnceTraffic} from './fuzz/once-traffic.ts';
import {ProcessFaults} from './fuzz/process-faults.ts';
import {Random} from './fuzz/random.ts';

const callers = 12;
const pauseMs = 150;
/** Time after the last fault in which everything has to work again, in milliseconds. */
const healMs = 5000;
const service = 'commandes';

const policy: PolicyInput = {
	services: [
		{
			name: service,
			slotsPerServer: 8,
			calls: [{name: 'order', method: 'POST', path: '/orders', once: true, deadlineMs: 1500}],
		},
	],
	once: {maxTableAnswerBytes: 200},
};

/** Creates one of three servers in two data centres. */
function createServer(index: number): ServerSpec {
	return {
		server: `commandes-${index}`,
		service,
		dataCentre: index === 2 ? 'est-b' : 'est-a',
		region: 'qc-est',
		slots: 8,
		maxConnections: 200,
		routes: [{method: 'POST', path: '/orders', serviceMs: 10, jitter: 0.9, bytes: 400}],
	};
}

async function readLedger(bed: TestBed): Promise<LedgerEntry[]> {
	const entries: LedgerEntry[] = [];
	for (const {backendPort} of bed.servers) {
		const answer = await request(`http://127.0.0.1:${backendPort}/stand-in/ledger`);
		entries.push(...((await answer.body.json()) as LedgerEntry[]));
	}

	return entries;
}

/** Lists the instances that run now. */
async function readInstances(bed: TestBed): Promise<Set<string>> {
	const instances = new Set<string>();
	for (const server of bed.servers) {
		const status = (await bed.readAdmin(server, '/admin/status')) as {guard: {instanceId: string}};
		instances.add(status.guard.instanceId);
	}

	return instances;
}

/** Tells whether a key's claim, if there is one, names a daemon that can't be asked any more. */
async function isHolderGone(bed: TestBed, key: string, instances: Set<string>): Promise<boolean> {
	const rowKey = computeRowKey({service, caller: 'anonymous', key, fingerprint: ''});
	const read = await bed.platform.table.get(rowKey);
	const row = read._unsafeUnwrap();
	const state = row === undefined ? undefined : decodeClaim(row)?.state;
	return state?.kind === 'claimed' && !instances.has(state.holder.instanceId);
}

/** Sends every key that never ran once more; it has to run unless its holder is gone or sent it. */
async function listStuckKeys(
	bed: TestBed,
	traffic: OnceTraffic,
	keys: readonly string[],
): Promise<Violation[]> {
	const instances = await readInstances(bed);
	const violations: Violation[] = [];
	for (const key of keys) {
		if (await isHolderGone(bed, key, instances)) {
			continue;
		}

		const end = await traffic.send(bed.listCallerPorts()[0]!, key);
		const wasSent = end.kind === 'unknown' && !end.reason.startsWith('holder-');
		const isEnded = end.kind === 'unknown' && end.reason === 'holder-ended';
		if (end.kind !== 'answered' && !wasSent && !isEnded) {
			violations.push({kind: 'stuckKey', key, detail: JSON.stringify(end)});
		}
	}

	return violations;
}

/** Lists the keys that callers chose and that never ran. */
function listUnusedKeys(oracle: OnceOracle, ledger: readonly LedgerEntry[]): string[] {
	const used = new Set(ledger.map(entry => entry.key));
	return oracle.listKeys().filter(key => !used.has(key) && !key.startsWith(mintedKeyPrefix));
}

const {values} = parseArgs({
	options: {seed: {type: 'string', default: '1'}, seconds: {type: 'string', default: '30'}},
});
const seed = Number(values.seed);
const seconds = Number(values.seconds);
if (!Number.isSafeInteger(seed) || !(seconds > 0)) {
	process.stderr.write('usage: npm run fuzz:processes -- --seed N --seconds S\n');
	process.exit(2);
}

const bed = await TestBed.start({
	servers: [0, 1, 2].map(index => createServer(index)),
	policy,
	seed,
});
const oracle = OnceOracle.create();
const traffic = OnceTraffic.create(bed, oracle, Random.create(seed));
const faults = ProcessFaults.create(bed, Random.create(seed + 1));
let steps = 0;
try {
	const running = traffic.run(callers);
	const endAtMs = performance.now() + seconds * 1000;
	while (performance.now() < endAtMs) {
		await faults.runStep();
		steps++;
		await wait(pauseMs);
	}

	traffic.stop();
	await running;
	await wait(healMs);
	const unused = listUnusedKeys(oracle, await readLedger(bed));
	const stuck = await listStuckKeys(bed, traffic, unused);
	const violations = [...oracle.listViolations(await readLedger(bed)), ...stuck];
	const counts = oracle.readCounts();
	const holds = steps > 0 && counts.answered > 0 && counts.notRun > 0 && faults.badExits === 0;
	const result = {
		seed,
		seconds,
		steps,
		faults: faults.counts,
		badExits: faults.badExits,
		...counts,
		unusedKeys: unused.length,
		violations,
		premise: {holds},
	};
	process.stdout.write(`${JSON.stringify(result)}\n`);
	process.exitCode = violations.length === 0 && holds ? 0 : 1;
} finally {
	await traffic.close();
	await bed.stop();
}
