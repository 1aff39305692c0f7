/**
 * Compares concurrency limits and slot allocators of one admission controller, on a simulated clock.
 *
 * Prints one JSON object: `tsx bench/admission-trial.ts limits|long SEED...`
 */
import process from 'node:process';
import {
	createSlotAllocator,
	allocatorKinds,
	type AllocatorKind,
} from './admission-trial/candidate-slot-allocators.ts';
import {createLimit, limitKinds, type LimitKind} from './admission-trial/candidate-limits.ts';
import {type ServerModel} from './admission-trial/simulated-server.ts';
import {
	createMixedStreams,
	runTrial,
	windowMs,
	type RequestStream,
	type TrialInput,
	type TrialResult,
} from './admission-trial/run-trial.ts';

const slots = 40;
const serviceMs = 20;
const overload = 2.5;
const limitTrialDurationMs = 12_000;
const slowFromMs = 4000;
const slowToMs = 6000;

type ServerCase = {
	readonly name: string;
	readonly server: ServerModel;
	readonly capacityShare: number;
};

/**
 * Servers for the comparison of limits. `capacityShare` is the mean share of the slots that a server
 * can use during the trial.
 */
const cases: readonly ServerCase[] = [
	{name: 'exact', server: {kind: 'exact'}, capacityShare: 1},
	{name: 'hidden', server: {kind: 'hidden', slots: slots / 2}, capacityShare: 0.5},
	{name: 'thrash', server: {kind: 'thrash', knee: slots / 2}, capacityShare: 0.5},
	{name: 'stall', server: {kind: 'stall', intervalMs: 2000, stallMs: 200}, capacityShare: 0.92},
	{
		name: 'slow',
		server: {kind: 'slow', fromMs: slowFromMs, toMs: slowToMs, speed: 0.1},
		capacityShare: 1 - (0.9 * (slowToMs - slowFromMs)) / limitTrialDurationMs,
	},
];

type LimitMetrics = {
	readonly goodputShare: number;
	readonly importantShare: number;
	readonly importantP99Ms: number;
	readonly leastLimit: number;
	readonly recoverySeconds?: number;
};

/** Rounds to four significant digits. */
function roundMetric(value: number): number {
	return Number(value.toPrecision(4));
}

/**
 * Computes how long after the slow phase the work answered in time is back at 95% of its rate
 * before that phase, over three consecutive windows; infinite if it doesn't get there.
 */
function computeRecoverySeconds(result: TrialResult): number {
	const baselineWindows = result.workPerWindowMs.slice(10, slowFromMs / windowMs);
	const baselineMs = baselineWindows.reduce((sum, work) => sum + work, 0) / baselineWindows.length;
	const firstIndex = slowToMs / windowMs;
	for (let index = firstIndex; index < result.workPerWindowMs.length - 2; index++) {
		const next = result.workPerWindowMs.slice(index, index + 3);
		if (next.reduce((sum, work) => sum + work, 0) >= 3 * 0.95 * baselineMs) {
			return ((index - firstIndex) * windowMs) / 1000;
		}
	}

	return Number.POSITIVE_INFINITY;
}

async function measureLimit(
	kind: LimitKind,
	serverCase: ServerCase,
	seed: number,
): Promise<LimitMetrics> {
	const capacitySlots = slots * (serverCase.server.kind === 'slow' ? 1 : serverCase.capacityShare);
	const result = await runTrial({
		seed,
		slots,
		durationMs: limitTrialDurationMs,
		streams: createMixedStreams(capacitySlots, overload, serviceMs),
		server: serverCase.server,
		createOverrides: () => ({limit: createLimit(kind, slots)}),
	});
	const streams = [...result.streams.values()];
	const goodWorkMs = streams.reduce((sum, stream) => sum + stream.workMs, 0);
	const critical = result.streams.get('importance-4')!;
	return {
		goodputShare: roundMetric(
			goodWorkMs / (limitTrialDurationMs * slots * serverCase.capacityShare),
		),
		importantShare: roundMetric(critical.good / critical.sent),
		importantP99Ms: roundMetric(critical.p99Ms),
		leastLimit: result.minLimit,
		...(serverCase.server.kind === 'slow' ? {recoverySeconds: computeRecoverySeconds(result)} : {}),
	};
}

const longSlots = 20;
const longTrialDurationMs = 20_000;
const shortStream: RequestStream = {
	callName: 'order-status',
	sizeClass: 'short',
	importance: 2,
	perSecond: 1000,
	serviceMs: 10,
	deadlineMs: 500,
};
const longStream: RequestStream = {
	callName: 'pattern-file',
	sizeClass: 'long',
	importance: 2,
	perSecond: 40,
	serviceMs: 400,
	deadlineMs: 5000,
};

async function measureSlotAllocator(kind: AllocatorKind, seed: number) {
	const base: TrialInput = {
		seed,
		slots: longSlots,
		durationMs: longTrialDurationMs,
		streams: [],
		server: {kind: 'exact'},
		createOverrides: clock => ({
			limit: createLimit('fixed', longSlots),
			slotAllocator: createSlotAllocator(kind, longSlots, 0.5, clock),
		}),
	};
	const both = await runTrial({...base, streams: [shortStream, longStream]});
	const shortAlone = await runTrial({...base, streams: [shortStream]});
	const longAlone = await runTrial({...base, streams: [longStream]});
	const short = both.streams.get(shortStream.callName)!;
	const long = both.streams.get(longStream.callName)!;
	return {
		shortP99Ratio: roundMetric(short.p99Ms / shortAlone.streams.get(shortStream.callName)!.p99Ms),
		shortGoodShare: roundMetric(short.good / short.sent),
		longShare: roundMetric(long.workMs / longAlone.streams.get(longStream.callName)!.workMs),
	};
}

/**
 * Runs one part of the comparison for a seed: `long` compares slot allocators, any other part compares
 * limits.
 */
async function measure(part: string, seed: number): Promise<unknown> {
	const metrics: Record<string, unknown> = {};
	if (part === 'long') {
		for (const kind of allocatorKinds) {
			metrics[kind] = await measureSlotAllocator(kind, seed);
		}

		return metrics;
	}

	for (const kind of limitKinds) {
		const byCase: Record<string, LimitMetrics> = {};
		for (const serverCase of cases) {
			byCase[serverCase.name] = await measureLimit(kind, serverCase, seed);
		}

		metrics[kind] = byCase;
	}

	return metrics;
}

const [part = 'limits', ...seedTexts] = process.argv.slice(2);
const seeds = seedTexts.length === 0 ? [1, 2, 3] : seedTexts.map(Number);
const bySeed: Record<string, unknown> = {};
for (const seed of seeds) {
	bySeed[seed] = await measure(part, seed);
}

console.log(JSON.stringify({part, seeds: bySeed}));
