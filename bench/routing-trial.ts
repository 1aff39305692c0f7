/**
 * Deterministic trial of the router alone: one entry and a few simulated servers.
 *
 * Prints one table row per case and policy. Run: `npx tsx bench/routing-trial.ts [seed] [policy]`.
 */
import process from 'node:process';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {importance, type GuardReport} from '../src/call/types.ts';
import {type Member} from '../src/membership/types.ts';
import {policySchema} from '../src/policy/schema.ts';
import {ServiceRouter} from '../src/routing/service-router.ts';
import {EventQueue} from './routing-trial/event-queue.ts';

type Random = () => number;

/** Load and server behaviour of one case. */
type TrialCase = {
	readonly name: string;
	readonly servers: number;
	readonly callsPerSecond: number;
	/** Time at which the last server joins. */
	readonly joinsAtMs?: number;
	/** Share of the calls whose service time is multiplied by `longFactor`. */
	readonly longShare?: number;
	/** Computes the factor by which a server's service times are longer than usual. */
	computeSlowdown(server: number, nowMs: number): number;
	/** Returns the load that a server reports, as a share of its slots, from its true load. */
	reportLoad(server: number, trueLoad: number): number;
};

/** Policy that chooses among the servers that have joined. */
type SelectionPolicy = {
	choose(joined: number, nowMs: number): number;
	recordStart(server: number, nowMs: number): void;
	recordEnd(end: CompletedCall, nowMs: number): void;
};

/** Properties of a completed call that a policy may use; `load` is the load that the server reported. */
type CompletedCall = {
	readonly server: number;
	readonly callName: string;
	readonly latencyMs: number;
	readonly load: number;
};

const slots = 10;
const minServiceMs = 5;
const meanExtraServiceMs = 5;
const durationMs = 60_000;
const warmUpMs = 2000;
const longFactor = 20;

function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

function createMember(index: number): Member {
	return {
		server: `s${index}`,
		service: 'catalogue',
		dataCentre: 'est-a',
		region: 'qc-est',
		address: '127.0.0.1',
		peerPort: 1,
		instanceId: `s${index}-1`,
		startedAtMs: 0,
		incarnation: 0,
		state: 'serving',
		policyVersion: 1,
	};
}

/** Adapts the router of the daemon to the trial. */
function createRouterPolicy(random: Random, maxEjectedShare: number): SelectionPolicy {
	const router = ServiceRouter.create({dataCentre: 'est-a', region: 'qc-est', random});
	router.applyPolicy(policySchema.parse({services: [{name: 'catalogue', maxEjectedShare}]}));
	const members: Member[] = [];
	const request = {
		service: 'catalogue',
		importance: importance.normal,
		needs: [],
		callName: 'status',
		requestBytes: 0,
		excluded: new Set<string>(),
	};
	return {
		choose(joined, nowMs) {
			if (members.length < joined) {
				while (members.length < joined) {
					members.push(createMember(members.length));
				}

				router.setMembers(members, nowMs);
			}

			const choice = router.choose(request, nowMs);
			return choice.kind === 'server' ? Number(choice.member.server.slice(1)) : 0;
		},
		recordStart(server, nowMs) {
			router.recordStart(members[server]!, nowMs);
		},
		recordEnd({server, callName, latencyMs, load}, nowMs) {
			const member = members[server]!;
			const report: GuardReport = {
				server: member.server,
				instanceId: member.instanceId,
				admissionLevel: importance.background,
				isOverloadedBelow: false,
				slotsInUse: Math.round(load * slots),
				slotLimit: slots,
				queued: 0,
				state: 'serving',
			};
			router.recordResult({member, callName, kind: 'answered', latencyMs, bytes: 0, report}, nowMs);
		},
	};
}

/** Creates a policy that chooses the server with the fewest calls in flight or the lowest reported load. */
function createLeastLoadedPolicy(random: Random, kind: 'inFlight' | 'reported'): SelectionPolicy {
	const values: number[] = [];
	return {
		choose(joined) {
			let least = Math.floor(random() * joined);
			for (let server = 0; server < joined; server += 1) {
				least = (values[server] ?? 0) < (values[least] ?? 0) ? server : least;
			}

			return least;
		},
		recordStart(server) {
			values[server] = (values[server] ?? 0) + (kind === 'inFlight' ? 1 : 0);
		},
		recordEnd({server, load}) {
			values[server] = kind === 'inFlight' ? (values[server] ?? 0) - 1 : load;
		},
	};
}

/** Creates a policy that doesn't use the load or the results of calls. */
function createPolicyWithoutFeedback(choose: (joined: number) => number): SelectionPolicy {
	const doNothing = (): void => undefined;
	return {choose, recordStart: doNothing, recordEnd: doNothing};
}

const policies = {
	random: (random: Random) => createPolicyWithoutFeedback(joined => Math.floor(random() * joined)),
	roundRobin() {
		let next = 0;
		return createPolicyWithoutFeedback(joined => next++ % joined);
	},
	leastReported: (random: Random) => createLeastLoadedPolicy(random, 'reported'),
	leastInFlight: (random: Random) => createLeastLoadedPolicy(random, 'inFlight'),
	twoChoices: (random: Random) => createRouterPolicy(random, 0),
	twoChoicesEjecting: (random: Random) => createRouterPolicy(random, 0.3),
} as const;

type QueuedCall = {
	readonly server: number;
	readonly callName: string;
	readonly arrivedAtMs: number;
	readonly serviceMs: number;
};
type TrialMetrics = {p50Ms: number; p99Ms: number; longestMs: number; firstServerShare: number};

/** Runs one case under one policy with open-loop arrivals. */
function runTrial(trial: TrialCase, policy: SelectionPolicy, seed: number): TrialMetrics {
	const random = createRandom(seed);
	const events = EventQueue.create();
	const runningCounts = Array.from({length: trial.servers}, () => 0);
	const waiting: QueuedCall[][] = Array.from({length: trial.servers}, () => []);
	const latencies: number[] = [];
	let firstServerCalls = 0;
	let nowMs = 0;

	const startCall = (call: QueuedCall): void => {
		const {server} = call;
		runningCounts[server]! += 1;
		const slowdown = trial.computeSlowdown(server, nowMs);
		events.add({
			atMs: nowMs + call.serviceMs * slowdown,
			run() {
				runningCounts[server]! -= 1;
				const latencyMs = nowMs - call.arrivedAtMs;
				const load = (runningCounts[server]! + waiting[server]!.length) / slots;
				const reported = trial.reportLoad(server, load);
				policy.recordEnd({server, callName: call.callName, latencyMs, load: reported}, nowMs);
				if (call.arrivedAtMs >= warmUpMs) {
					latencies.push(latencyMs);
					firstServerCalls += server === 0 ? 1 : 0;
				}

				const next = waiting[server]!.shift();
				if (next !== undefined) {
					startCall(next);
				}
			},
		});
	};

	const addArrival = (atMs: number): void => {
		events.add({
			atMs,
			run() {
				const haveAllJoined = trial.joinsAtMs === undefined || nowMs >= trial.joinsAtMs;
				const server = policy.choose(haveAllJoined ? trial.servers : trial.servers - 1, nowMs);
				policy.recordStart(server, nowMs);
				const isLong = random() < (trial.longShare ?? 0);
				const extraMs = -meanExtraServiceMs * Math.log(1 - random());
				const serviceMs = (minServiceMs + extraMs) * (isLong ? longFactor : 1);
				const callName = isLong ? 'scan' : 'status';
				const call = {server, callName, arrivedAtMs: nowMs, serviceMs};
				if (runningCounts[server]! < slots) {
					startCall(call);
				} else {
					waiting[server]!.push(call);
				}

				const gapMs = (-1000 / trial.callsPerSecond) * Math.log(1 - random());
				if (nowMs + gapMs < durationMs) {
					addArrival(nowMs + gapMs);
				}
			},
		});
	};

	addArrival(0);
	for (let event = events.remove(); event !== undefined; event = events.remove()) {
		nowMs = event.atMs;
		event.run();
	}

	latencies.sort((a, b) => a - b);
	const getQuantile = (share: number) => latencies[Math.floor((latencies.length - 1) * share)]!;
	return {
		p50Ms: getQuantile(0.5),
		p99Ms: getQuantile(0.99),
		longestMs: getQuantile(1),
		firstServerShare: firstServerCalls / latencies.length,
	};
}

const reportTrueLoad = (_server: number, trueLoad: number): number => trueLoad;
const isStalled = (server: number, nowMs: number): boolean => (nowMs + server * 1700) % 5000 < 200;
const healthy: TrialCase = {
	name: 'healthy',
	servers: 4,
	callsPerSecond: 1600,
	computeSlowdown: () => 1,
	reportLoad: reportTrueLoad,
};
const slowed: TrialCase = {...healthy, name: 'slowed', computeSlowdown: s => (s === 0 ? 10 : 1)};
const cases: readonly TrialCase[] = [
	healthy,
	slowed,
	{...healthy, name: 'healthy-60/s', callsPerSecond: 60},
	{...slowed, name: 'slowed-60/s', callsPerSecond: 60},
	{
		...slowed,
		name: 'slowed-10-30s',
		computeSlowdown: (s, nowMs) => (s === 0 && nowMs > 10_000 && nowMs < 30_000 ? 10 : 1),
	},
	{...healthy, name: 'stalls', computeSlowdown: (s, nowMs) => (isStalled(s, nowMs) ? 20 : 1)},
	{...slowed, name: 'lying', reportLoad: (s, trueLoad) => (s === 0 ? 0 : trueLoad)},
	{...healthy, name: 'claims-full', reportLoad: (s, trueLoad) => (s === 0 ? 1 : trueLoad)},
	{
		...healthy,
		name: 'cold-joins',
		servers: 5,
		joinsAtMs: 10_000,
		computeSlowdown: (s, nowMs) => (s === 4 && nowMs < 14_000 ? 8 : 1),
	},
	{...healthy, name: 'long-calls', callsPerSecond: 1000, longShare: 0.03},
];

const seed = Number(process.argv[2] ?? '1');
const wantedPolicy = process.argv[3];
console.log('case policy p50Ms p99Ms longestMs shareOfServer0');
for (const trial of cases) {
	for (const [name, createPolicy] of Object.entries(policies)) {
		if (wantedPolicy !== undefined && !name.startsWith(wantedPolicy)) {
			continue;
		}

		const metrics = runTrial(trial, createPolicy(createRandom(seed + 1)), seed);
		const {p50Ms, p99Ms, longestMs, firstServerShare} = metrics;
		const cells = [
			p50Ms.toFixed(1),
			p99Ms.toFixed(1),
			longestMs.toFixed(0),
			firstServerShare.toFixed(4),
		];
		console.log([trial.name, name, ...cells].join(' '));
	}
}
