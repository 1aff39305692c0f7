/**
 * Randomised run of once calls through real daemons that are killed, frozen, drained and cut off from the
 * platform.
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
/** Keys checked concurrently; fewer than the slots of a server, so that no check is shed. */
const maxParallelChecks = 6;
/** Time after the last fault within which all keys must be usable again. */
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

/** Creates the specification of one of three servers, which are in two data centres. */
function createServerSpec(index: number): ServerSpec {
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

async function readRunLedgers(bed: TestBed): Promise<LedgerEntry[]> {
	const entries: LedgerEntry[] = [];
	for (const {backendPort} of bed.servers) {
		const answer = await request(`http://127.0.0.1:${backendPort}/stand-in/ledger`);
		entries.push(...((await answer.body.json()) as LedgerEntry[]));
	}

	return entries;
}

/** Reads the instance IDs of the running daemons. */
async function readInstanceIds(bed: TestBed): Promise<Set<string>> {
	const instances = new Set<string>();
	for (const server of bed.servers) {
		const status = (await bed.readAdmin(server, '/admin/status')) as {guard: {instanceId: string}};
		instances.add(status.guard.instanceId);
	}

	return instances;
}

/** Whether a key has a claim whose holder no longer runs and can't answer a kill request. */
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

/** Repeats a call that never ran; it must run unless the holder of its claim stopped or had sent it. */
async function findStuckKey(
	bed: TestBed,
	traffic: OnceTraffic,
	key: string,
	instances: Set<string>,
): Promise<Violation | undefined> {
	if (await isHolderStopped(bed, key, instances)) {
		return undefined;
	}

	const outcome = await traffic.send(bed.listCallerPorts()[0]!, key);
	const wasSent =
		outcome.kind === 'unknown' &&
		(!outcome.reason.startsWith('holder-') || outcome.reason === 'holder-ended');
	return outcome.kind === 'answered' || wasSent
		? undefined
		: {kind: 'stuckKey', key, detail: JSON.stringify(outcome)};
}

/** Checks keys that never ran, a few concurrently, and lists those that are stuck. */
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

/** Lists the keys chosen by callers (not minted) that never ran. */
function listUnusedKeys(oracle: OnceOracle, ledger: readonly LedgerEntry[]): string[] {
	const used = new Set(ledger.map(entry => entry.key));
	return oracle.listKeys().filter(key => !used.has(key) && !key.startsWith(mintedKeyPrefix));
}

/** Length of a run: a duration or a number of faults. */
export type RunLimit =
	| {readonly kind: 'seconds'; readonly seconds: number}
	| {readonly kind: 'steps'; readonly steps: number};

export type ProcessRunResult = OracleCounts & {
	readonly seed: number;
	readonly steps: number;
	readonly faults: Readonly<Partial<Record<ProcessFault, number>>>;
	/** Daemons that did not exit with 0 after SIGTERM. */
	readonly badExits: number;
	/** Number of keys chosen by callers that no server ran. */
	readonly unusedKeys: number;
	readonly violations: readonly Violation[];
};

/** Injects faults during the traffic until the limit; returns the number of faults. */
async function injectFaults(faults: ProcessFaults, limit: RunLimit): Promise<number> {
	const startMs = performance.now();
	let steps = 0;
	const isEnded = () =>
		limit.kind === 'steps'
			? steps >= limit.steps
			: performance.now() - startMs >= limit.seconds * msPerSecond;
	while (!isEnded()) {
		await faults.runStep();
		steps++;
		await wait(pauseBetweenFaultsMs);
	}

	return steps;
}

/**
 * Starts the processes, sends calls while it injects faults, and checks the outcomes.
 *
 * @example
 * const result = await runProcesses(1, {kind: 'seconds', seconds: 30});
 */
export async function runProcesses(seed: number, limit: RunLimit): Promise<ProcessRunResult> {
	const servers = [0, 1, 2].map(index => createServerSpec(index));
	const bed = await TestBed.start({servers, policy, seed});
	const oracle = OnceOracle.create();
	const traffic = OnceTraffic.create(bed, oracle, SeededRandom.create(seed));
	const faults = ProcessFaults.create(bed, SeededRandom.create(seed + 1));
	try {
		const trafficDone = traffic.run(callerCount);
		const steps = await injectFaults(faults, limit);
		traffic.stop();
		await trafficDone;
		await wait(recoveryMs);
		const unused = listUnusedKeys(oracle, await readRunLedgers(bed));
		const stuck = await listStuckKeys(bed, traffic, unused);
		return {
			seed,
			steps,
			faults: faults.counts,
			badExits: faults.badExits,
			...oracle.readCounts(),
			unusedKeys: unused.length,
			violations: [...oracle.listViolations(await readRunLedgers(bed)), ...stuck],
		};
	} finally {
		await traffic.close();
		await bed.stop();
	}
}
