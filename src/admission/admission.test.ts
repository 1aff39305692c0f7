import {setImmediate as waitForTurn} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {type Importance} from '../call/types.ts';
import {serviceSchema, type ServicePolicy} from '../policy/schema.ts';
import {createAdmission} from './create-admission.ts';
import {type Admission, type AdmissionRequest, type AdmissionDecision} from './types.ts';

type Kind = ServicePolicy['admission']['kind'];

function createPolicy(kind: Kind, slots: number, maxQueued: number): ServicePolicy {
	return serviceSchema.parse({
		name: 'patrons',
		slotsPerServer: slots,
		admission: {kind, maxQueued, targetDelayMs: 5},
	});
}

/** What the oracle knows of one request. */
type Known = {
	readonly request: AdmissionRequest;
	readonly arrival: number;
	verdicts: AdmissionDecision[];
	state: 'waiting' | 'running' | 'ended';
};

/** Drives an admission control and compares it with plain lists. */
class Oracle {
	static create(policy: ServicePolicy): Oracle {
		return new Oracle(policy);
	}

	nowMs = 0;
	readonly known: Known[] = [];
	readonly admission: Admission;
	readonly policy: ServicePolicy;
	#events: Known[] = [];

	private constructor(policy: ServicePolicy) {
		this.policy = policy;
		this.admission = createAdmission(policy, {readNowMs: () => this.nowMs});
	}

	list(state: Known['state']): Known[] {
		return this.known.filter(known => known.state === state);
	}

	async admit(level: Importance, sizeClass: 'short' | 'long', leftMs: number): Promise<void> {
		const request: AdmissionRequest = {
			attemptId: `a${this.known.length}`,
			callName: sizeClass,
			importance: level,
			sizeClass,
			deadlineAtMs: this.nowMs + leftMs,
		};
		const known: Known = {request, arrival: this.known.length, verdicts: [], state: 'waiting'};
		this.known.push(known);
		void this.#receiveVerdict(known);
		await this.settle();
	}

	async cancel(index: number): Promise<void> {
		const known = this.known[index % Math.max(1, this.known.length)];
		if (known === undefined) {
			return;
		}

		const before = known.state;
		this.admission.cancel(known.request.attemptId);
		await this.settle();
		if (before === 'waiting' && known.verdicts.length !== 1) {
			throw new Error('a cancelled request got no verdict');
		}
	}

	async release(index: number, serviceMs: number): Promise<void> {
		const running = this.list('running');
		const known = running[index % Math.max(1, running.length)];
		if (known === undefined) {
			return;
		}

		known.state = 'ended';
		this.admission.release(known.request.attemptId, {kind: 'answered', serviceMs});
		await this.settle();
	}

	async settle(): Promise<void> {
		const waitedBefore = this.list('waiting');
		this.#events = [];
		await waitForTurn();
		this.#check(waitedBefore);
	}

	async #receiveVerdict(known: Known): Promise<void> {
		const verdict = await this.admission.admit(known.request);
		known.verdicts.push(verdict);
		known.state = verdict.kind === 'admitted' ? 'running' : 'ended';
		this.#events.push(known);
	}

	#check(waitedBefore: readonly Known[]): void {
		const waiting = this.list('waiting');
		const running = this.list('running');
		const report = this.admission.readReport();
		this.#assert(
			running.length <= this.policy.slotsPerServer,
			'more slots in use than the policy gives',
		);
		this.#assert(report.slotsInUse === running.length, 'report of slots in use is wrong');
		this.#assert(report.queued === waiting.length, 'report of the queue is wrong');
		this.#assert(waiting.length <= this.policy.admission.maxQueued, 'queue is too long');
		const waitingShort = waiting.filter(known => known.request.sizeClass === 'short');
		this.#assert(
			waitingShort.length === 0 || running.length >= report.slotLimit,
			'a slot is free while a short request waits',
		);
		const longRunning = running.some(known => known.request.sizeClass === 'long');
		this.#assert(
			waiting.length === 0 || longRunning || running.length >= report.slotLimit,
			'a slot is free while a long request waits and none runs',
		);
		for (const known of this.known) {
			this.#assert(known.verdicts.length <= 1, 'a request got two verdicts');
			this.#assert(
				(known.state === 'waiting') === (known.verdicts.length === 0),
				'a request has no verdict',
			);
		}

		for (const event of this.#events) {
			this.#checkEvent(event, waiting, waitedBefore);
		}
	}

	#checkEvent(event: Known, waiting: readonly Known[], waitedBefore: readonly Known[]): void {
		const verdict = event.verdicts[0]!;
		const level = event.request.importance;
		if (verdict.kind === 'shed' && verdict.reason === 'overload') {
			const isFair = waiting.every(other => other.request.importance >= level);
			this.#assert(isFair, 'a request was shed while a less important one waits');
		}

		// A started request was the most urgent of its size class.
		if (verdict.kind === 'admitted' && waitedBefore.includes(event)) {
			const passed = waiting.find(
				other =>
					waitedBefore.includes(other) &&
					other.request.sizeClass === event.request.sizeClass &&
					(other.request.importance > level ||
						(other.request.importance === level &&
							other.request.deadlineAtMs < event.request.deadlineAtMs)),
			);
			this.#assert(passed === undefined, 'a less urgent request went first');
		}
	}

	#assert(holds: boolean, broken: string): void {
		if (!holds) {
			throw new Error(broken);
		}
	}
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

async function runStep(oracle: Oracle, step: Step): Promise<void> {
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

test('adaptive admission agrees with the oracle', async t => {
	const property = fc.asyncProperty(
		fc.integer({min: 1, max: 5}),
		fc.integer({min: 0, max: 8}),
		fc.array(stepArbitrary, {minLength: 1, maxLength: 80}),
		async (slots, maxQueued, steps) => {
			const oracle = Oracle.create(createPolicy('adaptive', slots, maxQueued));
			for (const step of steps) {
				await runStep(oracle, step);
			}
		},
	);
	await t.notThrowsAsync(async () => fc.assert(property, {seed: 4, numRuns: 150}));
});

test('fixed admission runs requests in order of arrival', async t => {
	const oracle = Oracle.create(createPolicy('fixed', 2, 0));
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
			const verdict = await oracle.admission.admit(request);
			started.push(`${request.attemptId} ${verdict.kind}`);
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

test('admission of kind none admits everything at once', async t => {
	const {admission} = Oracle.create(createPolicy('none', 1, 0));
	const verdicts: AdmissionDecision[] = [];
	for (let index = 0; index < 50; index++) {
		const verdict = await admission.admit({
			attemptId: `n${index}`,
			callName: 'swatches',
			importance: 0,
			sizeClass: 'learned',
			deadlineAtMs: 10,
		});
		verdicts.push(verdict);
	}

	t.true(verdicts.every(verdict => verdict.kind === 'admitted'));
	t.is(admission.readReport().slotsInUse, 50);
});

test('requests end at the kind of admission that took them', async t => {
	const oracle = Oracle.create(createPolicy('fixed', 1, 10));
	const {admission} = oracle;
	const verdicts = new Map<string, string>();
	const admit = (attemptId: string) => {
		void (async () => {
			const verdict = await admission.admit({
				attemptId,
				callName: 'status',
				importance: 2,
				sizeClass: 'short',
				deadlineAtMs: 1000,
			});
			verdicts.set(attemptId, verdict.kind);
		})();
	};

	admit('running');
	admit('waiting');
	await waitForTurn();
	admission.applyPolicy(createPolicy('adaptive', 1, 10));
	admit('new');
	await waitForTurn();
	t.deepEqual(
		[...verdicts],
		[
			['running', 'admitted'],
			['new', 'admitted'],
		],
	);
	admission.release('running', {kind: 'answered', serviceMs: 5});
	await waitForTurn();
	t.is(verdicts.get('waiting'), 'admitted');
	admission.release('waiting', {kind: 'answered', serviceMs: 5});
	admission.release('new', {kind: 'answered', serviceMs: 5});
	t.is(admission.readReport().slotsInUse, 0);
});
