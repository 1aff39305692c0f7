/**
 * Deterministic trial of the router alone: one entry and a handful of modelled servers.
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
import {EventQueue} from './trials/event-queue.ts';

type Random = () => number;

/** How one case departs from healthy servers. */
type TrialCase = {
	readonly name: string;
	readonly servers: number;
	readonly callsPerSecond: number;
	/** Time at which the last server joins. */
	readonly joinsAtMs?: number;
	/** Share of the calls that take 20 times as long. */
	readonly longShare?: number;
	/** Multiple of the usual service time. */
	computeFactor(server: number, nowMs: number): number;
	/** Load that the server reports, as a share of its slots; `real` is the true one. */
	computeReport(server: number, real: number): number;
};

/** A way to choose among the servers that have joined. */
type TrialPolicy = {
	choose(joined: number, nowMs: number): number;
	recordStart(server: number, nowMs: number): void;
	recordEnd(end: TrialEnd, nowMs: number): void;
};

/** What a policy learns from an answer. */
type TrialEnd = {
	readonly server: number;
	readonly callName: string;
	readonly latencyMs: number;
	readonly load: number;
};

const slots = 10;
const fixedMs = 5;
const meanExtraMs = 5;
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

/** The product's router behind the trial's face. */
function createRouterPolicy(random: Random, maxEjectedShare: number): TrialPolicy {
	const router = ServiceRouter.create({dataCentre: 'est-a', region: 'qc-est', random});
	router.applyPolicy(policySchema.parse({services: [{name: 'catalogue', maxEjectedShare}]}));
	const members: Member[] = [];
	const request = {
		service: 'catalogue',
		importance: importance.normal,
		needs: [],
		expectedBytes: 0,
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

/** A policy that keeps one number per server and takes the least of all. */
function createLeastPolicy(random: Random, kind: 'inFlight' | 'reported'): TrialPolicy {
	const values: number[] = [];
	return {
		choose(joined) {
			let best = Math.floor(random() * joined);
			for (let server = 0; server < joined; server += 1) {
				best = (values[server] ?? 0) < (values[best] ?? 0) ? server : best;
			}

			return best;
		},
		recordStart(server) {
			values[server] = (values[server] ?? 0) + (kind === 'inFlight' ? 1 : 0);
		},
		recordEnd({server, load}) {
			values[server] = kind === 'inFlight' ? (values[server] ?? 0) - 1 : load;
		},
	};
}

function createBlindPolicy(choose: (joined: number) => number): TrialPolicy {
	const ignore = (): void => undefined;
	return {choose, recordStart: ignore, recordEnd: ignore};
}

const policies = {
	random: (random: Random) => createBlindPolicy(joined => Math.floor(random() * joined)),
	roundRobin() {
		let next = 0;
		return createBlindPolicy(joined => next++ % joined);
	},
	leastReported: (random: Random) => createLeastPolicy(random, 'reported'),
	leastInFlight: (random: Random) => createLeastPolicy(random, 'inFlight'),
	twoChoices: (random: Random) => createRouterPolicy(random, 0),
	twoChoicesEjecting: (random: Random) => createRouterPolicy(random, 0.3),
} as const;

type Work = {
	readonly server: number;
	readonly callName: string;
	readonly startMs: number;
	readonly serviceMs: number;
};
type TrialFigures = {p50Ms: number; p99Ms: number; longestMs: number; share0: number};

/** Runs one case under one policy with open-loop arrivals. */
function runTrial(trial: TrialCase, policy: TrialPolicy, seed: number): TrialFigures {
	const random = createRandom(seed);
	const events = EventQueue.create();
	const busy = Array.from({length: trial.servers}, () => 0);
	const waiting: Work[][] = Array.from({length: trial.servers}, () => []);
	const latencies: number[] = [];
	let toFirst = 0;
	let nowMs = 0;

	const startWork = (work: Work): void => {
		const {server} = work;
		busy[server]! += 1;
		const factor = trial.computeFactor(server, nowMs);
		events.add({
			atMs: nowMs + work.serviceMs * factor,
			run() {
				busy[server]! -= 1;
				const latencyMs = nowMs - work.startMs;
				const load = (busy[server]! + waiting[server]!.length) / slots;
				const reported = trial.computeReport(server, load);
				policy.recordEnd({server, callName: work.callName, latencyMs, load: reported}, nowMs);
				if (work.startMs >= warmUpMs) {
					latencies.push(latencyMs);
					toFirst += server === 0 ? 1 : 0;
				}

				const next = waiting[server]!.shift();
				if (next !== undefined) {
					startWork(next);
				}
			},
		});
	};

	const addArrival = (atMs: number): void => {
		events.add({
			atMs,
			run() {
				const hasAll = trial.joinsAtMs === undefined || nowMs >= trial.joinsAtMs;
				const server = policy.choose(hasAll ? trial.servers : trial.servers - 1, nowMs);
				policy.recordStart(server, nowMs);
				const isLong = random() < (trial.longShare ?? 0);
				const extraMs = -meanExtraMs * Math.log(1 - random());
				const serviceMs = (fixedMs + extraMs) * (isLong ? longFactor : 1);
				const callName = isLong ? 'scan' : 'status';
				const work = {server, callName, startMs: nowMs, serviceMs};
				if (busy[server]! < slots) {
					startWork(work);
				} else {
					waiting[server]!.push(work);
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
	const readQuantile = (share: number) => latencies[Math.floor((latencies.length - 1) * share)]!;
	return {
		p50Ms: readQuantile(0.5),
		p99Ms: readQuantile(0.99),
		longestMs: readQuantile(1),
		share0: toFirst / latencies.length,
	};
}

const readTruth = (_server: number, real: number): number => real;
const isStalled = (server: number, nowMs: number): boolean => (nowMs + server * 1700) % 5000 < 200;
const healthy: TrialCase = {
	name: 'healthy',
	servers: 4,
	callsPerSecond: 1600,
	computeFactor: () => 1,
	computeReport: readTruth,
};
const slowed: TrialCase = {...healthy, name: 'slowed', computeFactor: s => (s === 0 ? 10 : 1)};
const cases: readonly TrialCase[] = [
	healthy,
	slowed,
	{...healthy, name: 'healthy-60/s', callsPerSecond: 60},
	{...slowed, name: 'slowed-60/s', callsPerSecond: 60},
	{
		...slowed,
		name: 'slowed-10-30s',
		computeFactor: (s, nowMs) => (s === 0 && nowMs > 10_000 && nowMs < 30_000 ? 10 : 1),
	},
	{...healthy, name: 'stalls', computeFactor: (s, nowMs) => (isStalled(s, nowMs) ? 20 : 1)},
	{...slowed, name: 'lying', computeReport: (s, real) => (s === 0 ? 0 : real)},
	{...healthy, name: 'claims-full', computeReport: (s, real) => (s === 0 ? 1 : real)},
	{
		...healthy,
		name: 'cold-joins',
		servers: 5,
		joinsAtMs: 10_000,
		computeFactor: (s, nowMs) => (s === 4 && nowMs < 14_000 ? 8 : 1),
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

		const figures = runTrial(trial, createPolicy(createRandom(seed + 1)), seed);
		const {p50Ms, p99Ms, longestMs, share0} = figures;
		const cells = [p50Ms.toFixed(1), p99Ms.toFixed(1), longestMs.toFixed(0), share0.toFixed(4)];
		console.log([trial.name, name, ...cells].join(' '));
	}
}
