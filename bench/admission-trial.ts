/**
 * Compares limits and rules for long requests at one guard, on a clock of the trial's own.
 *
 * Prints one JSON object: `tsx bench/admission-trial.ts limits|long SEED...`
 */
import process from 'node:process';
import {createLane, laneKinds, type LaneKind} from './trial/candidate-lanes.ts';
import {createLimit, limitKinds, type LimitKind} from './trial/candidate-limits.ts';
import {type ServerModel} from './trial/modelled-server.ts';
import {
	createMixedStreams,
	runTrial,
	windowMs,
	type Stream,
	type TrialInput,
	type TrialResult,
} from './trial/run-trial.ts';

const slots = 40;
const serviceMs = 20;
const overload = 2.5;
const limitForMs = 12_000;
const slowFromMs = 4000;
const slowToMs = 6000;

type Case = {readonly name: string; readonly server: ServerModel; readonly capacity: number};

/** Servers of the comparison of limits; `capacity` is the share of the slots that they can use. */
const cases: readonly Case[] = [
	{name: 'exact', server: {kind: 'exact'}, capacity: 1},
	{name: 'hidden', server: {kind: 'hidden', slots: slots / 2}, capacity: 0.5},
	{name: 'thrash', server: {kind: 'thrash', knee: slots / 2}, capacity: 0.5},
	{name: 'stall', server: {kind: 'stall', everyMs: 2000, forMs: 200}, capacity: 0.92},
	{
		name: 'slow',
		server: {kind: 'slow', fromMs: slowFromMs, toMs: slowToMs, speed: 0.1},
		capacity: 1 - (0.9 * (slowToMs - slowFromMs)) / limitForMs,
	},
];

type LimitFigures = {
	readonly goodputShare: number;
	readonly importantShare: number;
	readonly importantP99Ms: number;
	readonly leastLimit: number;
	readonly recoverySeconds?: number;
};

function formatFigure(value: number): number {
	return Number(value.toPrecision(4));
}

/** Computes how long after the slow phase 95% of the good work before it is reached again. */
function computeRecoverySeconds(result: TrialResult): number {
	const before = result.workPerWindowMs.slice(10, slowFromMs / windowMs);
	const usual = before.reduce((sum, work) => sum + work, 0) / before.length;
	const from = slowToMs / windowMs;
	for (let index = from; index < result.workPerWindowMs.length - 2; index++) {
		const next = result.workPerWindowMs.slice(index, index + 3);
		if (next.reduce((sum, work) => sum + work, 0) >= 3 * 0.95 * usual) {
			return ((index - from) * windowMs) / 1000;
		}
	}

	return Number.POSITIVE_INFINITY;
}

async function measureLimit(kind: LimitKind, one: Case, seed: number): Promise<LimitFigures> {
	const capacitySlots = slots * (one.server.kind === 'slow' ? 1 : one.capacity);
	const result = await runTrial({
		seed,
		slots,
		forMs: limitForMs,
		streams: createMixedStreams(capacitySlots, overload, serviceMs),
		server: one.server,
		createParts: () => ({limit: createLimit(kind, slots)}),
	});
	const streams = [...result.streams.values()];
	const good = streams.reduce((sum, stream) => sum + stream.workMs, 0);
	const critical = result.streams.get('importance-4')!;
	return {
		goodputShare: formatFigure(good / (limitForMs * slots * one.capacity)),
		importantShare: formatFigure(critical.good / critical.sent),
		importantP99Ms: formatFigure(critical.p99Ms),
		leastLimit: result.leastLimit,
		...(one.server.kind === 'slow' ? {recoverySeconds: computeRecoverySeconds(result)} : {}),
	};
}

const longSlots = 20;
const longForMs = 20_000;
const shortStream: Stream = {
	callName: 'order-status',
	sizeClass: 'short',
	importance: 2,
	perSecond: 1000,
	serviceMs: 10,
	deadlineMs: 500,
};
const longStream: Stream = {
	callName: 'pattern-file',
	sizeClass: 'long',
	importance: 2,
	perSecond: 40,
	serviceMs: 400,
	deadlineMs: 5000,
};

async function measureLane(kind: LaneKind, seed: number) {
	const base: TrialInput = {
		seed,
		slots: longSlots,
		forMs: longForMs,
		streams: [],
		server: {kind: 'exact'},
		createParts: clock => ({
			limit: createLimit('fixed', longSlots),
			slotAllocator: createLane(kind, longSlots, 0.5, clock),
		}),
	};
	const both = await runTrial({...base, streams: [shortStream, longStream]});
	const shortAlone = await runTrial({...base, streams: [shortStream]});
	const longAlone = await runTrial({...base, streams: [longStream]});
	const short = both.streams.get(shortStream.callName)!;
	const long = both.streams.get(longStream.callName)!;
	return {
		shortP99Ratio: formatFigure(short.p99Ms / shortAlone.streams.get(shortStream.callName)!.p99Ms),
		shortGoodShare: formatFigure(short.good / short.sent),
		longShare: formatFigure(long.workMs / longAlone.streams.get(longStream.callName)!.workMs),
	};
}

/** Runs one part of the comparison for a seed. */
async function measure(part: string, seed: number): Promise<unknown> {
	const figures: Record<string, unknown> = {};
	if (part === 'long') {
		for (const kind of laneKinds) {
			figures[kind] = await measureLane(kind, seed);
		}

		return figures;
	}

	for (const kind of limitKinds) {
		const byCase: Record<string, LimitFigures> = {};
		for (const one of cases) {
			byCase[one.name] = await measureLimit(kind, one, seed);
		}

		figures[kind] = byCase;
	}

	return figures;
}

const [part = 'limits', ...seedTexts] = process.argv.slice(2);
const seeds = seedTexts.length === 0 ? [1, 2, 3] : seedTexts.map(Number);
const bySeed: Record<string, unknown> = {};
for (const seed of seeds) {
	bySeed[seed] = await measure(part, seed);
}

console.log(JSON.stringify({part, seeds: bySeed}));
