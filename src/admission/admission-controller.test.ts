import {setImmediate as waitForTurn} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {type Importance} from '../call/types.ts';
import {serviceSchema, type ServicePolicy} from '../policy/schema.ts';
import {createAdmissionController} from './create-admission-controller.ts';
import {type AdmissionController, type AdmissionRequest, type AdmissionDecision} from './types.ts';

type Kind = ServicePolicy['admission']['kind'];

function createPolicy(kind: Kind, slots: number, maxQueued: number): ServicePolicy {
	return serviceSchema.parse({
		name: 'patrons',
		slotsPerServer: slots,
		admission: {kind, maxQueued, targetDelayMs: 5},
	});
}

/** Expected state of one request. */
type Job = {
	readonly request: AdmissionRequest;
	readonly arrival: number;
	decisions: AdmissionDecision[];
	state: 'waiting' | 'running' | 'ended';
};

/** Test oracle: drives an admission controller and compares its state with plain lists. */
class Oracle {
	static create(policy: ServicePolicy): Oracle {
		return new Oracle(policy);
	}

	nowMs = 0;
	readonly jobs: Job[] = [];
	readonly admission: AdmissionController;
	readonly policy: ServicePolicy;
	#events: Job[] = [];

	private constructor(policy: ServicePolicy) {
		this.policy = policy;
		this.admission = createAdmissionController(policy, {readNowMs: () => this.nowMs});
	}

	list(state: Job['state']): Job[] {
		return this.jobs.filter(job => job.state === state);
	}

	async admit(level: Importance, sizeClass: 'short' | 'long', leftMs: number): Promise<void> {
		const request: AdmissionRequest = {
			attemptId: `a${this.jobs.length}`,
			callName: sizeClass,
			importance: level,
			sizeClass,
			deadlineAtMs: this.nowMs + leftMs,
		};
		const job: Job = {request, arrival: this.jobs.length, decisions: [], state: 'waiting'};
		this.jobs.push(job);
		void this.#receiveDecision(job);
		await this.settle();
	}

	async cancel(index: number): Promise<void> {
		const job = this.jobs[index % Math.max(1, this.jobs.length)];
		if (job === undefined) {
			return;
		}

		const before = job.state;
		this.admission.cancel(job.request.attemptId);
		await this.settle();
		if (before === 'waiting' && job.decisions.length !== 1) {
			throw new Error('a cancelled request got no decision');
		}
	}

	async release(index: number, serviceMs: number): Promise<void> {
		const running = this.list('running');
		const job = running[index % Math.max(1, running.length)];
		if (job === undefined) {
			return;
		}

		job.state = 'ended';
		this.admission.release(job.request.attemptId, {kind: 'answered', serviceMs});
		await this.settle();
	}

	async settle(): Promise<void> {
		const waitedBefore = this.list('waiting');
		this.#events = [];
		await waitForTurn();
		this.#check(waitedBefore);
	}

	async #receiveDecision(job: Job): Promise<void> {
		const decision = await this.admission.admit(job.request);
		job.decisions.push(decision);
		job.state = decision.kind === 'admitted' ? 'running' : 'ended';
		this.#events.push(job);
	}

	#check(waitedBefore: readonly Job[]): void {
		const waiting = this.list('waiting');
		const running = this.list('running');
		const report = this.admission.readReport();
		this.#assert(
			running.length <= this.policy.slotsPerServer,
			'more slots in use than the policy allows',
		);
		this.#assert(report.slotsInUse === running.length, 'report of slots in use is wrong');
		this.#assert(report.queued === waiting.length, 'report of the queue is wrong');
		this.#assert(waiting.length <= this.policy.admission.maxQueued, 'queue is too long');
		const waitingShort = waiting.filter(job => job.request.sizeClass === 'short');
		this.#assert(
			waitingShort.length === 0 || running.length >= report.slotLimit,
			'a slot is free while a short request waits',
		);
		const longRunning = running.some(job => job.request.sizeClass === 'long');
		this.#assert(
			waiting.length === 0 || longRunning || running.length >= report.slotLimit,
			'a slot is free while a long request waits and none runs',
		);
		for (const job of this.jobs) {
			this.#assert(job.decisions.length <= 1, 'a request got two decisions');
			this.#assert(
				(job.state === 'waiting') === (job.decisions.length === 0),
				'a request has no decision',
			);
		}

		for (const event of this.#events) {
			this.#checkEvent(event, waiting, waitedBefore);
		}
	}

	#checkEvent(event: Job, waiting: readonly Job[], waitedBefore: readonly Job[]): void {
		const decision = event.decisions[0]!;
		const level = event.request.importance;
		if (decision.kind === 'shed' && decision.reason === 'overload') {
			const isFair = waiting.every(other => other.request.importance >= level);
			this.#assert(isFair, 'a request was shed while a less important one waits');
		}

		// A request that starts must have been the most urgent one of its size class.
		if (decision.kind === 'admitted' && waitedBefore.includes(event)) {
			const overtaken = waiting.find(
				other =>
					waitedBefore.includes(other) &&
					other.request.sizeClass === event.request.sizeClass &&
					(other.request.importance > level ||
						(other.request.importance === level &&
							other.request.deadlineAtMs < event.request.deadlineAtMs)),
			);
			this.#assert(overtaken === undefined, 'a less urgent request started first');
		}
	}

	#assert(holds: boolean, violation: string): void {
		if (!holds) {
			throw new Error(violation);
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

test('adaptive admission matches the oracle', async t => {
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
	const {admission} = Oracle.create(createPolicy('none', 1, 0));
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
	const oracle = Oracle.create(createPolicy('fixed', 1, 10));
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
