/**
 * Randomised run of once calls through real daemons that are killed, frozen, drained and cut off.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {type LedgerEntry} from '../../stand-ins/backend/run-ledger.ts';
import {computeRowKey, decodeClaim} from '../../src/once/claim-row.ts';
import {mintedKeyPrefix} from '../../src/once/minted-key.ts';
import {type PolicyInput} from '../../src/policy/schema.ts';
import {TestBed} from '../harness/test-bed.ts';
import {type ServerSpec} from '../harness/types.ts';
import {OnceOracle, type OracleCounts, type Violation} from './once-oracle.ts';
import {OnceTraffic} from './once-traffic.ts';
import {ProcessFaults, type ProcessFault} from './process-faults.ts';
import {SeededRandom} from './seeded-random.ts';

const callerCount = 24;
const pauseBetweenFaultsMs = 150;
/** Keys checked at the same time; fewer than the slots, so that none is shed. */
const maxParallelChecks = 6;
/** Time after the last fault in which everything has to work again, in milliseconds. */
const recoveryMs = 5000;
const msPerSecond = 1000;
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
		routes: [{method: 'POST', path: '/orders', serviceMs: 40, jitter: 0.9, bytes: 400}],
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
async function readInstanceIds(bed: TestBed): Promise<Set<string>> {
	const instances = new Set<string>();
	for (const server of bed.servers) {
		const status = (await bed.readAdmin(server, '/admin/status')) as {guard: {instanceId: string}};
		instances.add(status.guard.instanceId);
	}

	return instances;
}

/** Tells whether a key's claim, if there is one, names a daemon that can't be asked any more. */
async function isHolderStopped(
	bed: TestBed,
	key: string,
	instances: Set<string>,
): Promise<boolean> {
	const rowKey = computeRowKey({service, caller: 'anonymous', key, fingerprint: ''});
	const read = await bed.platform.table.get(rowKey);
	const row = read._unsafeUnwrap();
	const state = row === undefined ? undefined : decodeClaim(row)?.state;
	return state?.kind === 'claimed' && !instances.has(state.holder.instanceId);
}

/** Sends a key that never ran once more; it has to run unless its holder is gone or had sent it. */
async function findStuckKey(
	bed: TestBed,
	traffic: OnceTraffic,
	key: string,
	instances: Set<string>,
): Promise<Violation | undefined> {
	if (await isHolderStopped(bed, key, instances)) {
		return undefined;
	}

	const end = await traffic.send(bed.listCallerPorts()[0]!, key);
	const wasSent =
		end.kind === 'unknown' && (!end.reason.startsWith('holder-') || end.reason === 'holder-ended');
	return end.kind === 'answered' || wasSent
		? undefined
		: {kind: 'stuckKey', key, detail: JSON.stringify(end)};
}

/** Lists the stuck ones of the keys that never ran, a few at a time. */
async function listStuckKeys(
	bed: TestBed,
	traffic: OnceTraffic,
	keys: readonly string[],
): Promise<Violation[]> {
	const instances = await readInstanceIds(bed);
	const queue = [...keys];
	const violations: Violation[] = [];
	const runChecks = async () => {
		for (let key = queue.shift(); key !== undefined; key = queue.shift()) {
			const violation = await findStuckKey(bed, traffic, key, instances);
			if (violation !== undefined) {
				violations.push(violation);
			}
		}
	};

	await Promise.all(Array.from({length: maxParallelChecks}, async () => runChecks()));
	return violations;
}

/** Lists the keys that callers chose and that never ran. */
function listUnusedKeys(oracle: OnceOracle, ledger: readonly LedgerEntry[]): string[] {
	const used = new Set(ledger.map(entry => entry.key));
	return oracle.listKeys().filter(key => !used.has(key) && !key.startsWith(mintedKeyPrefix));
}

/** When a run ends: after a time or after a number of faults. */
export type RunLimit =
	| {readonly kind: 'seconds'; readonly seconds: number}
	| {readonly kind: 'steps'; readonly steps: number};

export type ProcessRunResult = OracleCounts & {
	readonly seed: number;
	readonly steps: number;
	readonly faults: Readonly<Partial<Record<ProcessFault, number>>>;
	/** Daemons that did not exit with 0 after SIGTERM. */
	readonly badExits: number;
	/** Keys that callers chose and that no server ran. */
	readonly unusedKeys: number;
	readonly violations: readonly Violation[];
};

/** Injects faults under traffic until the run's end. */
async function injectFaults(faults: ProcessFaults, end: RunLimit): Promise<number> {
	const startMs = performance.now();
	let steps = 0;
	const isEnded = () =>
		end.kind === 'steps'
			? steps >= end.steps
			: performance.now() - startMs >= end.seconds * msPerSecond;
	while (!isEnded()) {
		await faults.runStep();
		steps++;
		await wait(pauseBetweenFaultsMs);
	}

	return steps;
}

/**
 * Starts the processes, runs calls and faults, and judges the outcome.
 *
 * @example
 * const result = await runProcesses(1, {kind: 'seconds', seconds: 30});
 */
export async function runProcesses(seed: number, end: RunLimit): Promise<ProcessRunResult> {
	const servers = [0, 1, 2].map(index => createServer(index));
	const bed = await TestBed.start({servers, policy, seed});
	const oracle = OnceOracle.create();
	const traffic = OnceTraffic.create(bed, oracle, SeededRandom.create(seed));
	const faults = ProcessFaults.create(bed, SeededRandom.create(seed + 1));
	try {
		const running = traffic.run(callerCount);
		const steps = await injectFaults(faults, end);
		traffic.stop();
		await running;
		await wait(recoveryMs);
		const unused = listUnusedKeys(oracle, await readLedger(bed));
		const stuck = await listStuckKeys(bed, traffic, unused);
		return {
			seed,
			steps,
			faults: faults.counts,
			badExits: faults.badExits,
			...oracle.readCounts(),
			unusedKeys: unused.length,
			violations: [...oracle.listViolations(await readLedger(bed)), ...stuck],
		};
	} finally {
		await traffic.close();
		await bed.stop();
	}
}
