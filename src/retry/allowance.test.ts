import test from 'ava';
import fc from 'fast-check';
import {CallAllowance} from './allowance.ts';
import {type LendPolicy} from './lend-policy.ts';

const policies: readonly LendPolicy[] = [
	{kind: 'all'},
	{kind: 'half'},
	{kind: 'reserve', kept: 1},
	{kind: 'share', share: 0.5},
];

type AllowanceModel = {left: number; spent: number; loans: Map<string, number>};

class SpendCommand implements fc.Command<AllowanceModel, CallAllowance> {
	check = () => true;

	run(model: AllowanceModel, real: CallAllowance): void {
		const isExpected = model.left > 0;
		if (real.trySpend() !== isExpected) {
			throw new Error('spend returned a different result than the model');
		}

		if (isExpected) {
			model.left -= 1;
			model.spent += 1;
		}

		assertSame(model, real);
	}

	toString = () => 'spend';
}

class LendCommand implements fc.Command<AllowanceModel, CallAllowance> {
	check = () => true;

	run(model: AllowanceModel, real: CallAllowance): void {
		const id = `loan-${model.loans.size}-${model.spent}-${model.left}-${Math.abs(real.lent)}`;
		if (model.loans.has(id)) {
			return;
		}

		const loan = real.lend(id);
		model.loans.set(id, loan);
		model.left -= loan;
		assertSame(model, real);
	}

	toString = () => 'lend';
}

class SettleCommand implements fc.Command<AllowanceModel, CallAllowance> {
	readonly unspent: number;

	constructor(unspent: number) {
		this.unspent = unspent;
	}

	check = (model: Readonly<AllowanceModel>) => model.loans.size > 0;

	run(model: AllowanceModel, real: CallAllowance): void {
		const id = [...model.loans.keys()][0]!;
		const loan = model.loans.get(id)!;
		model.loans.delete(id);
		if (this.unspent < 0) {
			real.forfeitLoan(id);
			model.spent += loan;
		} else {
			real.returnLoan(id, this.unspent);
			const returned = Math.min(loan, this.unspent);
			model.left += returned;
			model.spent += loan - returned;
		}

		assertSame(model, real);
	}

	toString = () => `settle(${this.unspent})`;
}

function assertSame(model: AllowanceModel, real: CallAllowance): void {
	let lent = 0;
	for (const loan of model.loans.values()) {
		lent += loan;
	}

	if (real.available !== model.left || real.spent !== model.spent || real.lent !== lent) {
		throw new Error('the allowance is in a different state than the model');
	}
}

test('an allowance behaves like a simple model', t => {
	const commands = fc.commands(
		[
			fc.constant(new SpendCommand()),
			fc.constant(new LendCommand()),
			fc.integer({min: -1, max: 12}).map(unspent => new SettleCommand(unspent)),
		],
		{maxCommands: 60},
	);
	t.notThrows(() => {
		fc.assert(
			fc.property(
				fc.integer({min: 0, max: 10}),
				fc.constantFrom(...policies),
				commands,
				(granted, policy, list) => {
					fc.modelRun(() => {
						const model: AllowanceModel = {left: granted, spent: 0, loans: new Map()};
						return {model, real: CallAllowance.create(granted, policy)};
					}, list);
				},
			),
			{seed: 41, numRuns: 500},
		);
	});
});

type Draw = () => number;
type TreeRun = {
	readonly draw: Draw;
	readonly loss: number;
	readonly policy: LendPolicy;
	retries: number;
};

/**
 * Runs one call and its child calls. Each answer may be lost; then the call retries while it has
 * retries left.
 */
function runTree(run: TreeRun, granted: number, depth: number): number {
	const allowance = CallAllowance.create(granted, run.policy);
	const children = depth === 0 ? 0 : 1 + Math.floor(run.draw() * 2);
	for (let child = 0; child < children; child += 1) {
		for (let attempt = 0; ; attempt += 1) {
			const id = `${child}-${attempt}`;
			const loan = allowance.lend(id);
			const unspent = runTree(run, loan, depth - 1);
			if (run.draw() >= run.loss) {
				allowance.returnLoan(id, unspent);
				break;
			}

			allowance.forfeitLoan(id);
			if (!allowance.trySpend()) {
				break;
			}

			run.retries += 1;
		}
	}

	return allowance.close();
}

test('the retries of a call tree of depth 8 never exceed the allowance granted at its origin', t => {
	t.notThrows(() => {
		fc.assert(
			fc.property(
				fc.integer({min: 0, max: 6}),
				fc.constantFrom(...policies),
				fc.constantFrom(0.1, 0.5, 0.9, 1),
				fc.infiniteStream(fc.double({min: 0, max: 1, maxExcluded: true, noNaN: true})),
				(granted, policy, loss, stream) => {
					const draw: Draw = () => stream.next().value as number;
					const run: TreeRun = {draw, loss, policy, retries: 0};
					runTree(run, granted, 8);
					return run.retries <= granted;
				},
			),
			{seed: 42, numRuns: 60},
		);
	});
});

test('if every answer in a call chain of depth 8 is lost, the retries used do not exceed the allowance', t => {
	const run: TreeRun = {draw: () => 0.4, loss: 1, policy: {kind: 'reserve', kept: 1}, retries: 0};
	runTree(run, 3, 8);
	t.true(run.retries <= 3);
	t.true(run.retries > 0);
});

test('a child that reports more unspent retries than its loan returns only the loan', t => {
	const allowance = CallAllowance.create(3, {kind: 'all'});
	t.is(allowance.lend('a'), 3);
	allowance.returnLoan('a', 99);
	t.is(allowance.available, 3);
	t.is(allowance.lend('b'), 3);
	allowance.returnLoan('b', Number.NaN);
	t.is(allowance.available, 0);
});

test('a closed allowance lends nothing and ignores late returns', t => {
	const allowance = CallAllowance.create(4, {kind: 'half'});
	t.is(allowance.lend('a'), 2);
	t.is(allowance.close(), 2);
	allowance.returnLoan('a', 2);
	t.is(allowance.spent, 2);
	t.is(allowance.lend('b'), 0);
	t.false(allowance.trySpend());
	t.is(allowance.close(), 0);
});

test('forfeiting a loan that does not exist throws', t => {
	const allowance = CallAllowance.create(1);
	t.throws(
		() => {
			allowance.forfeitLoan('x');
		},
		{message: /loan "x" does not exist/v},
	);
});
