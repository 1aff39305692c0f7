import test from 'ava';
import fc from 'fast-check';
import {MemoryTable, type TableFault} from '../../bench/fakes/memory-table.ts';
import {PolicyStore} from './policy-store.ts';
import {validatePolicy} from './validate.ts';

/** The oracle: the ids of the changes in force, in order, and those whose fate is open. */
type Model = {readonly applied: string[]; readonly open: Set<string>};

type Real = {
	readonly table: MemoryTable;
	readonly store: PolicyStore;
	readonly faults: TableFault[];
	nextChange: number;
};

/** Takes over what late writes did, which the oracle can't foresee. */
async function updateModel(model: Model, real: Real): Promise<void> {
	const history = await real.store.listHistory();
	for (const {changeId} of history._unsafeUnwrap().slice(model.applied.length)) {
		if (!model.open.delete(changeId)) {
			throw new Error(`${changeId} came into force though its fate was told`);
		}

		model.applied.push(changeId);
	}
}

/** Applies a change with some lost answers, from the head or from a version before it. */
class ApplyCommand implements fc.AsyncCommand<Model, Real> {
	constructor(
		private readonly faults: readonly TableFault[],
		private readonly stepsBehind: number,
	) {}

	check(): boolean {
		return true;
	}

	async run(model: Model, real: Real): Promise<void> {
		await updateModel(model, real);
		const baseVersion = Math.max(0, model.applied.length - this.stepsBehind);
		const isStale = baseVersion < model.applied.length;
		const changeId = `change-${real.nextChange++}`;
		const document = validatePolicy({
			services: [{name: 'catalogue', slotsPerServer: real.nextChange}],
		})._unsafeUnwrap();
		real.faults.push(...this.faults);
		const answer = await real.store.applyDocument({document, baseVersion, changeId, author: 'op'});
		real.faults.length = 0;
		if (answer.isOk()) {
			model.applied.push(changeId);
			assertEqual(isStale, false);
			assertEqual(answer.value.version, model.applied.length);
			return;
		}

		switch (answer.error.kind) {
			case 'outcomeUnknown': {
				model.open.add(changeId);
				break;
			}

			case 'conflict': {
				await updateModel(model, real);
				assertEqual(baseVersion < model.applied.length, true);
				break;
			}

			default: {
				assertEqual(answer.error.kind, 'unavailable');
			}
		}
	}

	toString(): string {
		return `apply(${this.faults.join(' ')}, ${this.stepsBehind} behind)`;
	}
}

/** Lets writes take effect whose answers were lost. */
class LateWritesCommand implements fc.AsyncCommand<Model, Real> {
	check(): boolean {
		return true;
	}

	async run(model: Model, real: Real): Promise<void> {
		real.table.applyLateWrites();
		await updateModel(model, real);
		const head = await real.store.readHead();
		assertEqual(head._unsafeUnwrap().version, model.applied.length);
	}

	toString(): string {
		return 'late writes';
	}
}

function assertEqual(actual: unknown, expected: unknown): void {
	if (actual !== expected) {
		throw new Error(`found ${String(actual)} in place of ${String(expected)}`);
	}
}

test('the store agrees with a list of changes, whatever answers are lost', async t => {
	const faultArbitrary = fc.constantFrom<TableFault>(
		'none',
		'unreachable',
		'lostAnswer',
		'lostRequest',
		'lateEffect',
	);
	const commands = fc.commands(
		[
			fc
				.tuple(fc.array(faultArbitrary, {maxLength: 4}), fc.integer({min: 0, max: 2}))
				.map(([faults, stepsBehind]) => new ApplyCommand(faults, stepsBehind)),
			fc.constant(new LateWritesCommand()),
		],
		{maxCommands: 30},
	);
	await t.notThrowsAsync(
		fc.assert(
			fc.asyncProperty(commands, async steps => {
				await fc.asyncModelRun(() => {
					const faults: TableFault[] = [];
					const table = MemoryTable.create(operation =>
						operation === 'write' ? (faults.shift() ?? 'none') : 'none',
					);
					const store = PolicyStore.create(table, {readTimeMs: () => 0});
					const real: Real = {table, store, faults, nextChange: 1};
					return {model: {applied: [], open: new Set<string>()}, real};
				}, steps);
			}),
			{seed: 11, numRuns: 150},
		),
	);
});
