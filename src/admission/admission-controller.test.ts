import {setImmediate as waitForTurn} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {type Importance} from '../call/types.ts';
import {serviceSchema, type ServicePolicy} from '../policy/schema.ts';
import {AdmissionOracle} from './admission-oracle.ts';
import {type AdmissionDecision, type AdmissionRequest} from './types.ts';

type Kind = ServicePolicy['admission']['kind'];

function createPolicy(kind: Kind, slots: number, maxQueued: number): ServicePolicy {
	return serviceSchema.parse({
		name: 'patrons',
		slotsPerServer: slots,
		admission: {kind, maxQueued, targetDelayMs: 5},
	});
}

type Step =
	| {
			readonly kind: 'admit';
			readonly level: Importance;
			readonly sizeClass: 'short' | 'long';
			readonly leftMs: number;
	  }
	| {readonly kind: 'cancel'; readonly index: number}
	| {readonly kind: 'release'; readonly index: number; readonly serviceMs: number}
	| {readonly kind: 'advance'; readonly byMs: number};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			kind: fc.constant('admit' as const),
			level: fc.integer({min: 0, max: 4}) as fc.Arbitrary<Importance>,
			sizeClass: fc.constantFrom('short' as const, 'long' as const),
			leftMs: fc.integer({min: 1, max: 500}),
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cancel' as const), index: fc.nat(50)})},
	{
		weight: 4,
		arbitrary: fc.record({
			kind: fc.constant('release' as const),
			index: fc.nat(20),
			serviceMs: fc.integer({min: 1, max: 40}),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			kind: fc.constant('advance' as const),
			byMs: fc.integer({min: 1, max: 60}),
		}),
	},
);

async function runStep(oracle: AdmissionOracle, step: Step): Promise<void> {
	switch (step.kind) {
		case 'admit': {
			return oracle.admit(step.level, step.sizeClass, step.leftMs);
		}

		case 'cancel': {
			return oracle.cancel(step.index);
		}

		case 'release': {
			return oracle.release(step.index, step.serviceMs);
		}

		case 'advance': {
			oracle.nowMs += step.byMs;
			oracle.admission.readReport();
			return oracle.settle();
		}
	}
}

test('adaptive admission matches the oracle', async t => {
	const property = fc.asyncProperty(
		fc.integer({min: 1, max: 5}),
		fc.integer({min: 0, max: 8}),
		fc.array(stepArbitrary, {minLength: 1, maxLength: 80}),
		async (slots, maxQueued, steps) => {
			const oracle = AdmissionOracle.create(createPolicy('adaptive', slots, maxQueued));
			for (const step of steps) {
				await runStep(oracle, step);
			}
		},
	);
	await t.notThrowsAsync(async () => fc.assert(property, {seed: 4, numRuns: 150}));
});

test('fixed admission runs requests in order of arrival', async t => {
	const oracle = AdmissionOracle.create(createPolicy('fixed', 2, 0));
	const started: string[] = [];
	for (let index = 0; index < 6; index++) {
		const request: AdmissionRequest = {
			attemptId: `f${index}`,
			callName: 'swatches',
			importance: (index % 5) as Importance,
			sizeClass: 'learned',
			deadlineAtMs: 1000 - index,
		};
		void (async () => {
			const decision = await oracle.admission.admit(request);
			started.push(`${request.attemptId} ${decision.kind}`);
		})();
	}

	await waitForTurn();
	t.deepEqual(started, ['f0 admitted', 'f1 admitted']);
	oracle.admission.cancel('f2');
	oracle.admission.release('f0', {kind: 'answered', serviceMs: 1});
	await waitForTurn();
	t.deepEqual(started.slice(2), ['f2 shed', 'f3 admitted']);
	t.is(oracle.admission.readReport().queued, 2);
});

test('admission of kind none admits all requests immediately', async t => {
	const {admission} = AdmissionOracle.create(createPolicy('none', 1, 0));
	const decisions: AdmissionDecision[] = [];
	for (let index = 0; index < 50; index++) {
		const decision = await admission.admit({
			attemptId: `n${index}`,
			callName: 'swatches',
			importance: 0,
			sizeClass: 'learned',
			deadlineAtMs: 10,
		});
		decisions.push(decision);
	}

	t.true(decisions.every(decision => decision.kind === 'admitted'));
	t.is(admission.readReport().slotsInUse, 50);
});

test('requests stay with the admission controller that they were submitted to', async t => {
	const oracle = AdmissionOracle.create(createPolicy('fixed', 1, 10));
	const {admission} = oracle;
	const decisions = new Map<string, string>();
	const admit = (attemptId: string) => {
		void (async () => {
			const decision = await admission.admit({
				attemptId,
				callName: 'status',
				importance: 2,
				sizeClass: 'short',
				deadlineAtMs: 1000,
			});
			decisions.set(attemptId, decision.kind);
		})();
	};

	admit('running');
	admit('waiting');
	await waitForTurn();
	admission.applyPolicy(createPolicy('adaptive', 1, 10));
	admit('new');
	await waitForTurn();
	t.deepEqual(
		[...decisions],
		[
			['running', 'admitted'],
			['new', 'admitted'],
		],
	);
	admission.release('running', {kind: 'answered', serviceMs: 5});
	await waitForTurn();
	t.is(decisions.get('waiting'), 'admitted');
	admission.release('waiting', {kind: 'answered', serviceMs: 5});
	admission.release('new', {kind: 'answered', serviceMs: 5});
	t.is(admission.readReport().slotsInUse, 0);
});
