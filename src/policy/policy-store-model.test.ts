import test from 'ava';
import fc from 'fast-check';
import {MemoryTable, type TableFault} from '../../bench/fakes/memory-table.ts';
import {PolicyStore} from './policy-store.ts';
import {validatePolicy} from './validate.ts';

/** Oracle: ids of the applied changes in order, and of those whose outcome is unknown. */
type Model = {readonly applied: string[]; readonly undecided: Set<string>};

type Real = {
	readonly table: MemoryTable;
	readonly store: PolicyStore;
	readonly faults: TableFault[];
	nextChange: number;
};

/** Adds the versions that late writes created, which the oracle can't predict. */
async function updateModel(model: Model, real: Real): Promise<void> {
	const history = await real.store.listHistory();
	for (const {changeId} of history._unsafeUnwrap().slice(model.applied.length)) {
		if (!model.undecided.delete(changeId)) {
			throw new Error(`${changeId} was applied after its outcome had been reported`);
		}

		model.applied.push(changeId);
	}
}

/** Applies a change, with table faults, based on the head or on an earlier version. */
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
				model.undecided.add(changeId);
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

/** Applies delayed writes whose answers were lost. */
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
		throw new Error(`expected ${String(expected)}, got ${String(actual)}`);
	}
}

test('the store agrees with a list of changes for any sequence of table faults', async t => {
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
					return {model: {applied: [], undecided: new Set<string>()}, real};
				}, steps);
			}),
			{seed: 11, numRuns: 150},
		),
	);
});
