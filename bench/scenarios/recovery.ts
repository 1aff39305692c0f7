/**
 * Scenario `recovery`: a deep service slows, demand surges and clients retry hard, all at once;
 * measured is the time from the trigger's end until calls are served as before.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {type TestBed} from '../harness/test-bed.ts';
import {LoadGenerator} from '../load/load-generator.ts';
import {type CallSample} from '../load/types.ts';
import {listChainKinds, measureCapacity, scale, startChainBed} from './chain.ts';
import {type Figures, type Scenario, type VariantKind} from './types.ts';
import {useVariantBeds} from './variants.ts';

const normalLoad = 0.7;
const importantPart = 0.3;
const triggerStartMs = 3000;
const triggerEndMs = 6000;
const durationMs = 13_000;
const slowFactor = 5;
const surgeFactor = 2;
const clientRetries = 4;
const windowMs = 250;
/** Share of whole answers from which a window counts as served. */
const servedShare = 0.95;
/** Windows in a row that must be served. */
const servedWindows = 4;
const maxLateMs = 50;

/** Share of whole answers among the calls due in a window. */
function computeWindowShare(samples: readonly CallSample[], fromMs: number): number {
	let due = 0;
	let whole = 0;
	for (const sample of samples) {
		if (sample.dueAtMs < fromMs || sample.dueAtMs >= fromMs + windowMs) {
			continue;
		}

		due++;
		// An answer counts when the client's first attempt at it was served.
		whole += sample.result === 'whole' && sample.sent === 1 ? 1 : 0;
	}

	return due === 0 ? 1 : whole / due;
}

/** Seconds from the trigger's end to the first of enough served windows in a row. */
function computeRecoverySeconds(samples: readonly CallSample[]): number {
	let served = 0;
	for (let fromMs = triggerEndMs; fromMs + windowMs <= durationMs; fromMs += windowMs) {
		served = computeWindowShare(samples, fromMs) >= servedShare ? served + 1 : 0;
		if (served === servedWindows) {
			return (fromMs - (servedWindows - 1) * windowMs - triggerEndMs) / 1000;
		}
	}

	return Number.POSITIVE_INFINITY;
}

async function runTrigger(bed: TestBed): Promise<void> {
	const deep = bed.servers.filter(server => server.spec.service === 'commandes');
	await wait(triggerStartMs);
	await Promise.all(deep.map(async server => bed.setBehaviour(server, {slowFactor})));
	await wait(triggerEndMs - triggerStartMs);
	await Promise.all(deep.map(async server => bed.setBehaviour(server, {slowFactor: 1})));
}

type VariantRun = {
	readonly figures: Figures;
	readonly lateMs: number;
	readonly triggerShare: number;
};

async function runVariant(bed: TestBed, capacity: number, seed: number): Promise<VariantRun> {
	const kinds = listChainKinds(capacity * normalLoad, capacity * importantPart);
	const trigger = runTrigger(bed);
	const load = await LoadGenerator.create({
		ports: bed.listCallerPorts(),
		seed,
		kinds: kinds.map(kind => ({...kind, clientRetries})),
		durationMs,
		rateFactor: atMs => (atMs >= triggerStartMs && atMs < triggerEndMs ? surgeFactor : 1),
	}).run();
	await trigger;
	const recoverySeconds = computeRecoverySeconds(load.samples);
	const isRecovered = Number.isFinite(recoverySeconds);
	return {
		figures: {
			recoverySeconds: isRecovered ? recoverySeconds : (durationMs - triggerEndMs) / 1000,
			recovered: isRecovered,
			shareBefore: computeWindowShare(load.samples, triggerStartMs - windowMs),
			shareAtEnd: computeWindowShare(load.samples, durationMs - windowMs),
		},
		lateMs: load.lateP99Ms,
		triggerShare: computeWindowShare(load.samples, triggerEndMs - windowMs),
	};
}

export const scenario: Scenario = {
	async run({seed}) {
		return useVariantBeds(
			async kind => startChainBed(kind, seed),
			async beds => {
				const capacity = await measureCapacity(beds.get('adaptive')!);
				const variants: Partial<Record<VariantKind, Figures>> = {};
				let lateMs = 0;
				let noneTriggerShare = 1;
				for (const [kind, bed] of beds) {
					const run = await runVariant(bed, capacity, seed);
					variants[kind] = run.figures;
					lateMs = Math.max(lateMs, run.lateMs);
					noneTriggerShare = kind === 'none' ? run.triggerShare : noneTriggerShare;
				}

				return {
					scenario: 'recovery',
					seed,
					premise: {
						holds: lateMs <= maxLateMs && noneTriggerShare < servedShare,
						details: {
							capacityPerSecond: capacity,
							normalLoad,
							slowFactor,
							surgeFactor,
							clientRetries,
							lateP99Ms: lateMs,
							noneTriggerShare,
							metastable: variants.none?.recovered === false,
							...scale,
						},
					},
					variants,
				};
			},
		);
	},
};
