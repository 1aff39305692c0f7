/**
 * Random sequences of calls and faults in the simulation of once calls, checked against the number of runs
 * per key.
 */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {type OnceRequest} from '../../../src/once/types.ts';
import {createAnswerBody, type Attempt, type TableFault} from './types.ts';
import {OnceSimulation} from './once-simulation.ts';

/** Attempts after which a key that is still shed counts as stuck; guards shed one call in four. */
const maxAttempts = 50;

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

/** Checks the result of every finished attempt against the number of runs. */
function assertAttempts(simulation: OnceSimulation): void {
	for (const {runCount, result, request: attempted} of simulation.attempts) {
		const keyRuns = simulation.countRuns(attempted);
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
				if (runCount > 0) {
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

/** Checks that an answer is byte for byte that of the first run. */
function assertAnswer(attempted: OnceRequest, record: Record<string, unknown>): void {
	const {answer} = record as {answer?: {body: Uint8Array}};
	if (Buffer.from(answer?.body ?? []).toString() !== createAnswerBody(attempted, 1)) {
		throw new Error(`${attempted.key} got another answer`);
	}
}

/** A model command that changes the simulation and then checks all attempts. */
class SimulationCommand implements fc.AsyncCommand<Model, OnceSimulation> {
	static create(
		name: string,
		change: (simulation: OnceSimulation) => Promise<unknown> | void,
	): SimulationCommand {
		return new SimulationCommand(name, change);
	}

	private constructor(
		private readonly name: string,
		private readonly change: (simulation: OnceSimulation) => Promise<unknown> | void,
	) {}

	check(): boolean {
		return true;
	}

	async run(_model: Model, simulation: OnceSimulation): Promise<void> {
		await this.change(simulation);
		assertAttempts(simulation);
	}

	toString(): string {
		return this.name;
	}
}

const entryName = fc.constantFrom(...entryNames);
const callCommands = fc
	.tuple(entryName, fc.constantFrom(...requests))
	.map(([name, called]) =>
		SimulationCommand.create(`call ${name} ${called.caller}/${called.key}`, async simulation =>
			simulation.call(name, called),
		),
	);
const stepCommands = fc
	.nat(20)
	.map(index =>
		SimulationCommand.create(`step ${index}`, async simulation => simulation.step(index)),
	);
const tableFaultCommands = fc
	.constantFrom<TableFault>('ok', 'ok', 'ok', 'unreachable', 'fail', 'lose', 'late')
	.map(fault =>
		SimulationCommand.create(`table ${fault}`, simulation => {
			simulation.setTableFault(fault);
		}),
	);
const lateEffectCommands = fc.nat(5).map(index =>
	SimulationCommand.create(`late effect ${index}`, simulation => {
		simulation.applyLateEffect(index);
	}),
);
const crashCommands = entryName.map(name =>
	SimulationCommand.create(`crash ${name}`, simulation => {
		simulation.crash(name);
	}),
);
const freezeCommands = fc.tuple(entryName, fc.boolean()).map(([name, frozen]) =>
	SimulationCommand.create(`${frozen ? 'freeze' : 'thaw'} ${name}`, simulation => {
		simulation.setFrozen(name, frozen);
	}),
);
const guardFaultCommands = fc.constantFrom('cut', 0, 1).map(fault =>
	SimulationCommand.create(
		fault === 'cut' ? 'cut connections' : `restart guard ${fault}`,
		simulation => {
			if (typeof fault === 'number') {
				simulation.restartGuard(fault);
			} else {
				simulation.cutConnections();
			}
		},
	),
);
const commandSequences = fc.commands(
	[
		callCommands,
		callCommands,
		stepCommands,
		stepCommands,
		stepCommands,
		stepCommands,
		stepCommands,
		tableFaultCommands,
		lateEffectCommands,
		crashCommands,
		freezeCommands,
		guardFaultCommands,
	],
	{maxCommands: 80, size: 'max'},
);

/**
 * Repeats a call until the guards do not shed it.
 *
 * @example
 * const attempt = await sendUntilServed(simulation, request);
 */
export async function sendUntilServed(
	simulation: OnceSimulation,
	repeated: OnceRequest,
): Promise<Attempt> {
	for (let attempts = 0; attempts < maxAttempts; attempts++) {
		const attempt = await simulation.call('a', repeated);
		await simulation.heal();
		if (attempt.result?.kind !== 'notRun' || attempt.result.reason !== 'overload') {
			return attempt;
		}
	}

	throw new Error(`${repeated.key} was never served`);
}

/** Ends all faults and checks that a key never sent runs and that one that ran doesn't run again. */
async function assertKeysUsable(simulation: OnceSimulation): Promise<void> {
	await simulation.heal();
	assertAttempts(simulation);
	for (const repeated of requests) {
		const mustRun = !simulation.isSent(repeated) && simulation.canAskHolder(repeated);
		const attempt = await sendUntilServed(simulation, repeated);
		assertAttempts(simulation);
		const kind = attempt.result?.kind;
		if (mustRun && kind !== 'ran') {
			throw new Error(`${repeated.key} was never sent and is stuck: ${kind}`);
		}

		if (kind !== 'ran' && kind !== 'repeated' && kind !== 'unknown') {
			throw new Error(`${repeated.key} is stuck: ${kind}`);
		}
	}
}

/** Number of injected faults and of attempt results, by kind. */
export type SequenceCounts = {
	readonly faults: Readonly<Record<string, number>>;
	readonly ends: Readonly<Record<string, number>>;
};

/**
 * Runs sequences from one seed.
 *
 * @throws at the first sequence that violates a guarantee of once calls
 *
 * @example
 * const counts = await runSequences(20_261_204, 400);
 */
export async function runSequences(seed: number, sequences: number): Promise<SequenceCounts> {
	const faults: Record<string, number> = {};
	const ends: Record<string, number> = {};
	await fc.assert(
		fc.asyncProperty(commandSequences, async sequence => {
			const simulation = OnceSimulation.create(entryNames);
			await fc.asyncModelRun(() => ({model: {}, real: simulation}), sequence);
			await assertKeysUsable(simulation);
			for (const [kind, count] of Object.entries(simulation.faults)) {
				faults[kind] = (faults[kind] ?? 0) + count;
			}

			for (const {result} of simulation.attempts) {
				const kind = result?.kind ?? 'none';
				ends[kind] = (ends[kind] ?? 0) + 1;
			}
		}),
		{seed, numRuns: sequences},
	);
	return {faults, ends};
}
