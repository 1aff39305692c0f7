/** Test oracle: what an admission controller owes to each request. */
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {type Importance} from '../call/types.ts';
import {type ServicePolicy} from '../policy/schema.ts';
import {createAdmissionController} from './create-admission-controller.ts';
import {type AdmissionController, type AdmissionDecision, type AdmissionRequest} from './types.ts';

/** Expected state of one request. */
type Job = {
	readonly request: AdmissionRequest;
	readonly arrival: number;
	decisions: AdmissionDecision[];
	state: 'waiting' | 'running' | 'ended';
};

/** Drives an admission controller and compares its state with plain lists. */
export class AdmissionOracle {
	/**
	 * @example
	 * const oracle = AdmissionOracle.create(policy);
	 * await oracle.admit(importance, 'short', 100);
	 */
	static create(policy: ServicePolicy): AdmissionOracle {
		return new AdmissionOracle(policy);
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
