/**
 * Scenario `recovery`: the last service of the chain slows down and demand surges while clients retry
 * refused or failed calls up to four times. The recovery time runs from the end of this trigger until calls are
 * served as before. The detail `metastable` is true if the baseline `none` doesn't recover.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {type TestBed} from '../harness/test-bed.ts';
import {LoadGenerator} from '../load/load-generator.ts';
import {type CallSample} from '../load/types.ts';
import {listChainCallKinds, measureCapacity, scaleDivisors, startChainBed} from './chain.ts';
import {type Metrics, type Scenario, type VariantKind} from './types.ts';
import {runWithVariantBeds} from './variants.ts';

const normalLoad = 0.7;
const importantPart = 0.3;
const triggerStartMs = 3000;
const triggerEndMs = 6000;
const durationMs = 13_000;
const slowFactor = 5;
const surgeFactor = 2;
const clientRetries = 4;
const windowMs = 250;
/** Lowest share of served calls with which a window counts as served. */
const minServedShare = 0.95;
/** Consecutive served windows that count as recovery. */
const requiredServedWindows = 4;
const maxLateP99Ms = 50;

/** Computes the share of served calls among those due in the window that begins at `fromMs`. */
function computeServedShare(samples: readonly CallSample[], fromMs: number): number {
	let due = 0;
	let whole = 0;
	for (const sample of samples) {
		if (sample.dueAtMs < fromMs || sample.dueAtMs >= fromMs + windowMs) {
			continue;
		}

		due++;
		// A call counts as served only if the client's first attempt was answered completely.
		whole += sample.result === 'whole' && sample.sendCount === 1 ? 1 : 0;
	}

	return due === 0 ? 1 : whole / due;
}

/** Computes the seconds from the trigger's end to the first of the required consecutive served windows. */
function computeRecoverySeconds(samples: readonly CallSample[]): number {
	let served = 0;
	for (let fromMs = triggerEndMs; fromMs + windowMs <= durationMs; fromMs += windowMs) {
		served = computeServedShare(samples, fromMs) >= minServedShare ? served + 1 : 0;
		if (served === requiredServedWindows) {
			return (fromMs - (requiredServedWindows - 1) * windowMs - triggerEndMs) / 1000;
		}
	}

	return Number.POSITIVE_INFINITY;
}

/** Slows the servers of the last service from `triggerStartMs` to `triggerEndMs`. */
async function runTrigger(bed: TestBed): Promise<void> {
	const bottleneckServers = bed.servers.filter(server => server.spec.service === 'commandes');
	await wait(triggerStartMs);
	await Promise.all(bottleneckServers.map(async server => bed.setBehaviour(server, {slowFactor})));
	await wait(triggerEndMs - triggerStartMs);
	await Promise.all(
		bottleneckServers.map(async server => bed.setBehaviour(server, {slowFactor: 1})),
	);
}

type VariantResult = {
	readonly metrics: Metrics;
	readonly lateP99Ms: number;
	readonly triggerShare: number;
};

async function runVariant(bed: TestBed, capacity: number, seed: number): Promise<VariantResult> {
	const kinds = listChainCallKinds(capacity * normalLoad, capacity * importantPart);
	const trigger = runTrigger(bed);
	const load = await LoadGenerator.create({
		ports: bed.listCallerPorts(),
		seed,
		kinds: kinds.map(kind => ({...kind, clientRetries})),
		durationMs,
		computeRateFactor: atMs => (atMs >= triggerStartMs && atMs < triggerEndMs ? surgeFactor : 1),
	}).run();
	await trigger;
	const recoverySeconds = computeRecoverySeconds(load.samples);
	const isRecovered = Number.isFinite(recoverySeconds);
	return {
		metrics: {
			recoverySeconds: isRecovered ? recoverySeconds : (durationMs - triggerEndMs) / 1000,
			recovered: isRecovered,
			shareBefore: computeServedShare(load.samples, triggerStartMs - windowMs),
			shareAtEnd: computeServedShare(load.samples, durationMs - windowMs),
		},
		lateP99Ms: load.lateP99Ms,
		triggerShare: computeServedShare(load.samples, triggerEndMs - windowMs),
	};
}

export const scenario: Scenario = {
	async run({seed}) {
		return runWithVariantBeds(
			async kind => startChainBed(kind, seed),
			async beds => {
				const capacity = await measureCapacity(beds.get('adaptive')!);
				const variants: Partial<Record<VariantKind, Metrics>> = {};
				let lateP99Ms = 0;
				let noneTriggerShare = 1;
				for (const [kind, bed] of beds) {
					const variantResult = await runVariant(bed, capacity, seed);
					variants[kind] = variantResult.metrics;
					lateP99Ms = Math.max(lateP99Ms, variantResult.lateP99Ms);
					noneTriggerShare = kind === 'none' ? variantResult.triggerShare : noneTriggerShare;
				}

				return {
					scenario: 'recovery',
					seed,
					premise: {
						holds: lateP99Ms <= maxLateP99Ms && noneTriggerShare < minServedShare,
						details: {
							capacityPerSecond: capacity,
							normalLoad,
							slowFactor,
							surgeFactor,
							clientRetries,
							lateP99Ms,
							noneTriggerShare,
							metastable: variants.none?.recovered === false,
							...scaleDivisors,
						},
					},
					variants,
				};
			},
		);
	},
};
