/**
 * Random sequences of calls and faults in the world of once calls, judged by a count of runs per key.
 */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {type OnceRequest} from '../../../src/once/types.ts';
import {createAnswer, type Attempt, type TableFault} from './types.ts';
import {World} from './world.ts';

export const entryNames = ['a', 'b', 'c'];

export const request: OnceRequest = {
	service: 'commandes',
	caller: 'x',
	key: 'k1',
	fingerprint: 'f',
};

const requests: readonly OnceRequest[] = [
	request,
	{...request, key: 'k'},
	{...request, caller: 'y'},
];

type Model = Record<string, never>;

/** Checks every attempt that has ended against the count of runs. */
function assertAttempts(world: World): void {
	for (const {runs, result, request: attempted} of world.attempts) {
		const keyRuns = world.countRuns(attempted);
		if (keyRuns > 1) {
			throw new Error(`${attempted.key} ran ${keyRuns} times`);
		}

		switch (result?.kind) {
			case undefined:
			case 'inProgress':
			case 'unknown': {
				break;
			}

			case 'notRun': {
				if (runs > 0) {
					throw new Error(`${attempted.key} was told notRun (${result.reason}) and ran`);
				}

				break;
			}

			case 'ran':
			case 'repeated': {
				assertAnswer(attempted, result.kind === 'ran' ? result.record : result);
				break;
			}

			case 'mismatch': {
				throw new Error('the same request was told to differ');
			}
		}
	}
}

/** Checks an answer byte for byte. */
function assertAnswer(attempted: OnceRequest, given: Record<string, unknown>): void {
	const {answer} = given as {answer?: {body: Uint8Array}};
	if (Buffer.from(answer?.body ?? []).toString() !== createAnswer(attempted, 1)) {
		throw new Error(`${attempted.key} got another answer`);
	}
}

/** A command that changes the world and then checks it. */
class Step implements fc.AsyncCommand<Model, World> {
	static create(name: string, change: (world: World) => Promise<unknown> | void): Step {
		return new Step(name, change);
	}

	private constructor(
		private readonly name: string,
		private readonly change: (world: World) => Promise<unknown> | void,
	) {}

	check(): boolean {
		return true;
	}

	async run(_model: Model, world: World): Promise<void> {
		await this.change(world);
		assertAttempts(world);
	}

	toString(): string {
		return this.name;
	}
}

const entryName = fc.constantFrom(...entryNames);
const calls = fc
	.tuple(entryName, fc.constantFrom(...requests))
	.map(([name, called]) =>
		Step.create(`call ${name} ${called.caller}/${called.key}`, async world =>
			world.call(name, called),
		),
	);
const steps = fc
	.nat(20)
	.map(index => Step.create(`step ${index}`, async world => world.step(index)));
const tableFaults = fc
	.constantFrom<TableFault>('ok', 'ok', 'ok', 'unreachable', 'fail', 'lose', 'late')
	.map(fault =>
		Step.create(`table ${fault}`, world => {
			world.setFault(fault);
		}),
	);
const lateEffects = fc.nat(5).map(index =>
	Step.create(`late effect ${index}`, world => {
		world.applyLateEffect(index);
	}),
);
const crashes = entryName.map(name =>
	Step.create(`crash ${name}`, world => {
		world.crash(name);
	}),
);
const freezes = fc.tuple(entryName, fc.boolean()).map(([name, frozen]) =>
	Step.create(`${frozen ? 'freeze' : 'thaw'} ${name}`, world => {
		world.setFrozen(name, frozen);
	}),
);
const guardFaults = fc.constantFrom('cut', 0, 1).map(fault =>
	Step.create(fault === 'cut' ? 'cut connections' : `restart guard ${fault}`, world => {
		if (typeof fault === 'number') {
			world.restartGuard(fault);
		} else {
			world.cutConnections();
		}
	}),
);
const commands = fc.commands(
	[
		calls,
		calls,
		steps,
		steps,
		steps,
		steps,
		steps,
		tableFaults,
		lateEffects,
		crashes,
		freezes,
		guardFaults,
	],
	{maxCommands: 80, size: 'max'},
);

/**
 * Calls until the guard does not shed the call.
 *
 * @example
 * const attempt = await callUntilServed(world, request);
 */
export async function callUntilServed(world: World, repeated: OnceRequest): Promise<Attempt> {
	for (;;) {
		const attempt = await world.call('a', repeated);
		await world.heal();
		if (attempt.result?.kind !== 'notRun' || attempt.result.reason !== 'overload') {
			return attempt;
		}
	}
}

/** After all faults have ended, a key that was never sent runs, and one that ran does not run again. */
async function assertUsable(world: World): Promise<void> {
	await world.heal();
	assertAttempts(world);
	for (const repeated of requests) {
		const mustRun = !world.isSent(repeated) && world.isHolderAlive(repeated);
		const attempt = await callUntilServed(world, repeated);
		assertAttempts(world);
		const kind = attempt.result?.kind;
		if (mustRun && kind !== 'ran') {
			throw new Error(`${repeated.key} was never sent and is stuck: ${kind}`);
		}

		if (kind !== 'ran' && kind !== 'repeated' && kind !== 'unknown') {
			throw new Error(`${repeated.key} is stuck: ${kind}`);
		}
	}
}

/** Faults injected and ends of attempts, by kind. */
export type SequenceCounts = {
	readonly faults: Readonly<Record<string, number>>;
	readonly ends: Readonly<Record<string, number>>;
};

/**
 * Runs sequences from one seed; throws at the first that breaks a promise.
 *
 * @example
 * const counts = await runSequences(20_261_204, 400);
 */
export async function runSequences(seed: number, sequences: number): Promise<SequenceCounts> {
	const faults: Record<string, number> = {};
	const ends: Record<string, number> = {};
	await fc.assert(
		fc.asyncProperty(commands, async sequence => {
			const world = World.create(entryNames);
			await fc.asyncModelRun(() => ({model: {}, real: world}), sequence);
			await assertUsable(world);
			for (const [kind, count] of Object.entries(world.faults)) {
				faults[kind] = (faults[kind] ?? 0) + count;
			}

			for (const {result} of world.attempts) {
				const kind = result?.kind ?? 'none';
				ends[kind] = (ends[kind] ?? 0) + 1;
			}
		}),
		{seed, numRuns: sequences},
	);
	return {faults, ends};
}
