/**
 * Scenario `added`: time that two daemons add to a call, against the server called direct and
 * against two bare relays, which show what this machine adds by itself.
 */
import {connect, createServer, type AddressInfo, type Server} from 'node:net';
import {performance} from 'node:perf_hooks';
import {readFileSync} from 'node:fs';
import {setTimeout as wait} from 'node:timers/promises';
import {Pool} from 'undici';
import {TestBed, type RunningServer} from '../harness/test-bed.ts';
import {computeQuantile} from '../load/load-generator.ts';
import {lachancePolicy} from '../lachance.ts';
import {type Figures, type Scenario} from './types.ts';

/** 84,000 calls a second over 1,400 daemons. */
const plannedRatePerSecond = 60;
/** Each round sends one call over every way, so that they meet the same machine. */
const rounds = 2400;
const warmUpRounds = 300;
const ticksPerSecond = 100;
const servicePath = '/swatches/1';

/** A relay that copies bytes and parses nothing. */
async function openRelay(targetPort: number): Promise<Server> {
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

/** Processor time of a process in microseconds. */
function readCpuMicros(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
	const microsPerTick = 1_000_000 / ticksPerSecond;
	return (Number(fields[11]) + Number(fields[12])) * microsPerTick;
}

type Way = {
	readonly name: 'direct' | 'relay' | 'daemon';
	readonly pool: Pool;
	readonly path: string;
};

async function measureCallMs(way: Way): Promise<number> {
	const startedAtMs = performance.now();
	const answer = await way.pool.request({method: 'GET', path: way.path});
	await answer.body.dump();
	return performance.now() - startedAtMs;
}

/** Finds the entry that isn't the guard's own daemon, so that the call passes two daemons. */
function findRemoteEntry(bed: TestBed): RunningServer {
	return bed.servers.find(server => server.spec.service !== 'catalogue')!;
}

async function runRounds(ways: readonly Way[]) {
	const latencies = new Map<Way['name'], number[]>(ways.map(way => [way.name, []]));
	for (let round = 0; round < rounds + warmUpRounds; round++) {
		// The first call after a pause is the slowest, so the ways take turns at being first.
		const first = round % ways.length;
		for (const way of [...ways.slice(first), ...ways.slice(0, first)]) {
			const latencyMs = await measureCallMs(way);
			if (round >= warmUpRounds) {
				latencies.get(way.name)?.push(latencyMs);
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
		const guarded = bed.findServer('catalogue-1');
		const inner = await openRelay(guarded.backendPort);
		const outer = await openRelay(readPort(inner));
		try {
			const createWay = (name: Way['name'], port: number, path: string): Way => ({
				name,
				path,
				pool: new Pool(`http://127.0.0.1:${port}`),
			});
			const entry = findRemoteEntry(bed);
			const ways = [
				createWay('direct', guarded.backendPort, servicePath),
				createWay('relay', readPort(outer), servicePath),
				createWay('daemon', entry.ports.caller, `/catalogue${servicePath}`),
			];
			const pids = [entry.daemon.pid, guarded.daemon.pid];
			const cpuBefore = pids.map(pid => readCpuMicros(pid));
			const latencies = await runRounds(ways);
			const cpuUsed = pids.map((pid, index) => readCpuMicros(pid) - (cpuBefore[index] ?? 0));
			const readQuantile = (name: Way['name'], quantile: number) =>
				computeQuantile(latencies.get(name) ?? [], quantile);
			const addedP99Ms = readQuantile('daemon', 0.99) - readQuantile('direct', 0.99);
			const relayAddedP99Ms = readQuantile('relay', 0.99) - readQuantile('direct', 0.99);
			const figures: Figures = {
				addedP50Ms: readQuantile('daemon', 0.5) - readQuantile('direct', 0.5),
				addedP99Ms,
				relayAddedP50Ms: readQuantile('relay', 0.5) - readQuantile('direct', 0.5),
				relayAddedP99Ms,
				overRelayP99: readQuantile('daemon', 0.99) / readQuantile('relay', 0.99),
				directP99Ms: readQuantile('direct', 0.99),
				cpuMicrosPerCallEntry: (cpuUsed[0] ?? 0) / (rounds + warmUpRounds),
				cpuMicrosPerCallGuard: (cpuUsed[1] ?? 0) / (rounds + warmUpRounds),
			};
			return {
				scenario: 'added',
				seed,
				premise: {holds: true, details: {rounds, plannedRatePerSecond}},
				variants: {adaptive: figures},
			};
		} finally {
			inner.close();
			outer.close();
			await bed.stop();
		}
	},
};
