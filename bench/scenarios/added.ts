/**
 * Scenario `added`: latency that two daemons add to a call, compared with calling the server directly and
 * with calling it through two plain TCP relays, which show how much two further hops cost on this machine.
 */
import {connect, createServer, type AddressInfo, type Server} from 'node:net';
import {performance} from 'node:perf_hooks';
import {readFileSync} from 'node:fs';
import {setTimeout as wait} from 'node:timers/promises';
import {Pool} from 'undici';
import {TestBed, type RunningServer} from '../harness/test-bed.ts';
import {computeQuantile} from '../load/load-generator.ts';
import {lachancePolicy} from '../lachance.ts';
import {type Metrics, type Scenario} from './types.ts';

/** Planned load per daemon: 84,000 calls per second over 1,400 daemons. */
const plannedRatePerSecond = 60;
/** Each round calls every target once, so that changes in the machine's speed affect all alike. */
const rounds = 2400;
const warmUpRounds = 300;
const clockTicksPerSecond = 100;
const servicePath = '/swatches/1';

/** Starts a TCP relay that copies bytes without parsing them. */
async function startRelay(targetPort: number): Promise<Server> {
	const server = createServer({noDelay: true}, socket => {
		const target = connect({port: targetPort, host: '127.0.0.1', noDelay: true});
		socket.pipe(target).pipe(socket);
		socket.on('error', () => {
			target.destroy();
		});
		target.on('error', () => {
			socket.destroy();
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return server;
}

function readPort(server: Server): number {
	return (server.address() as AddressInfo).port;
}

/** Reads the CPU time of a process, in microseconds. */
function readCpuMicros(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
	const microsPerTick = 1_000_000 / clockTicksPerSecond;
	return (Number(fields[11]) + Number(fields[12])) * microsPerTick;
}

/** A way to reach the server: directly, through two relays or through two daemons. */
type CallTarget = {
	readonly name: 'direct' | 'relay' | 'daemon';
	readonly pool: Pool;
	readonly path: string;
};

async function measureCallMs(callTarget: CallTarget): Promise<number> {
	const startedAtMs = performance.now();
	const answer = await callTarget.pool.request({method: 'GET', path: callTarget.path});
	await answer.body.dump();
	return performance.now() - startedAtMs;
}

/**
 * Finds the server of another service. A call that enters at its daemon passes two daemons, that one and
 * the guard's.
 */
function findRemoteEntry(bed: TestBed): RunningServer {
	return bed.servers.find(server => server.spec.service !== 'catalogue')!;
}

async function runRounds(targets: readonly CallTarget[]) {
	const latencies = new Map<CallTarget['name'], number[]>(
		targets.map(callTarget => [callTarget.name, []]),
	);
	for (let round = 0; round < rounds + warmUpRounds; round++) {
		// The first call after a pause is the slowest, so the targets take turns at being first.
		const first = round % targets.length;
		for (const callTarget of [...targets.slice(first), ...targets.slice(0, first)]) {
			const latencyMs = await measureCallMs(callTarget);
			if (round >= warmUpRounds) {
				latencies.get(callTarget.name)?.push(latencyMs);
			}
		}

		await wait(1000 / plannedRatePerSecond / 2);
	}

	return latencies;
}

export const scenario: Scenario = {
	async run({seed}) {
		const shared = {dataCentre: 'est-a', region: 'qc-est', slots: 20, maxConnections: 200};
		const route = {method: 'GET', path: '/swatches', serviceMs: 0, bytes: 512};
		const bed = await TestBed.start({
			seed,
			policy: lachancePolicy,
			servers: [
				{...shared, server: 'catalogue-1', service: 'catalogue', routes: [route]},
				{...shared, server: 'atelier-1', service: 'atelier', routes: []},
			],
		});
		const guardServer = bed.findServer('catalogue-1');
		const guardRelay = await startRelay(guardServer.backendPort);
		const entryRelay = await startRelay(readPort(guardRelay));
		try {
			const createTarget = (name: CallTarget['name'], port: number, path: string): CallTarget => ({
				name,
				path,
				pool: new Pool(`http://127.0.0.1:${port}`),
			});
			const entryServer = findRemoteEntry(bed);
			const targets = [
				createTarget('direct', guardServer.backendPort, servicePath),
				createTarget('relay', readPort(entryRelay), servicePath),
				createTarget('daemon', entryServer.ports.caller, `/catalogue${servicePath}`),
			];
			const pids = [entryServer.daemon.pid, guardServer.daemon.pid];
			const cpuBefore = pids.map(pid => readCpuMicros(pid));
			const latencies = await runRounds(targets);
			const cpuUsed = pids.map((pid, index) => readCpuMicros(pid) - (cpuBefore[index] ?? 0));
			const computeLatencyQuantile = (name: CallTarget['name'], quantile: number) =>
				computeQuantile(latencies.get(name) ?? [], quantile);
			const addedP99Ms =
				computeLatencyQuantile('daemon', 0.99) - computeLatencyQuantile('direct', 0.99);
			const relayAddedP99Ms =
				computeLatencyQuantile('relay', 0.99) - computeLatencyQuantile('direct', 0.99);
			const metrics: Metrics = {
				addedP50Ms: computeLatencyQuantile('daemon', 0.5) - computeLatencyQuantile('direct', 0.5),
				addedP99Ms,
				relayAddedP50Ms:
					computeLatencyQuantile('relay', 0.5) - computeLatencyQuantile('direct', 0.5),
				relayAddedP99Ms,
				overRelayP99:
					computeLatencyQuantile('daemon', 0.99) / computeLatencyQuantile('relay', 0.99),
				directP99Ms: computeLatencyQuantile('direct', 0.99),
				cpuMicrosPerCallEntry: (cpuUsed[0] ?? 0) / (rounds + warmUpRounds),
				cpuMicrosPerCallGuard: (cpuUsed[1] ?? 0) / (rounds + warmUpRounds),
			};
			return {
				scenario: 'added',
				seed,
				premise: {holds: true, details: {rounds, plannedRatePerSecond}},
				variants: {adaptive: metrics},
			};
		} finally {
			guardRelay.close();
			entryRelay.close();
			await bed.stop();
		}
	},
};
