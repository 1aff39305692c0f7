/**
 * One call at the entry: attempts, retries and the relay of the whole answer.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {headerNames} from '../../call/headers.ts';
import {RunProof, type Refusal} from '../../call/run-proof.ts';
import {type Outcome} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {CallAllowance} from '../../retry/allowance.ts';
import {AllowanceInvariantError} from '../../retry/errors.ts';
import {type RetryDecision} from '../../retry/retry-decision.ts';
import {type RetryAllowance} from '../../retry/types.ts';
import {type RouteChoice} from '../../routing/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {answerProblem, chooseRefusalStatus} from '../http/problem.ts';
import {relayBody} from '../http/relay.ts';
import {convertToEndToEnd} from '../http/request-headers.ts';
import {type Attempt, type AttemptHead} from './attempt.ts';
import {type EarlyEnd, settleOutcome} from './early-end.ts';
import {AttemptRunner, readBodyLength, type RunningAttempt} from './attempt-runner.ts';
import {type EntryCallInput} from './entry-call-input.ts';
import {type EntryTask} from './entry-task.ts';
import {runHedged, type HedgeResult} from './hedged-attempt.ts';
import {classifyLoad, findOverload, type OverloadPlace} from './load-outcome.ts';
import {RetryAdvisor} from './retry-advisor.ts';

/** Time beyond the deadline in which a guard's own word on it may still arrive. */
const deadlineGraceMs = 50;
const noServers: ReadonlySet<string> = new Set();

/** Runs one call to exactly one outcome. */
export class EntryCall {
	/**
	 * @example
	 * const outcome = await EntryCall.create(entry, input).run();
	 */
	static create(entry: EntryTask, input: EntryCallInput): EntryCall {
		return new EntryCall(entry, input);
	}

	readonly #entry: EntryTask;
	readonly #input: EntryCallInput;
	readonly #allowance: RetryAllowance;
	readonly #runner: AttemptRunner;
	readonly #advisor: RetryAdvisor;
	readonly #proof: RunProof;
	readonly #tried = new Set<string>();
	#relayed: Attempt | undefined;
	#ended: EarlyEnd = 'no';
	#wasSent = false;
	/** Where the last attempt met an overload. */
	#overload: OverloadPlace = 'none';

	private constructor(entry: EntryTask, input: EntryCallInput) {
		this.#entry = entry;
		this.#input = input;
		const {origin, call, request, body, once} = input;
		// A minted key may have run before; only the instance that it names can tell.
		this.#proof = RunProof.create(once?.onlyInstanceId !== undefined);
		// A child call spends and lends from the allowance of its parent, which runs in this process.
		this.#allowance =
			origin.kind === 'server' && call.retryKind === 'allowance'
				? origin.parent.allowance
				: CallAllowance.create(call.context.retryAllowance);
		this.#advisor = RetryAdvisor.create({
			call,
			body,
			allowance: this.#allowance,
			router: entry.router,
			isShedding: () => entry.load.isOverloaded(call),
			random: Math.random,
		});
		this.#runner = AttemptRunner.create(entry, {
			call,
			origin,
			request,
			body,
			allowance: this.#allowance,
			...(once === undefined ? {} : {once}),
		});
	}

	/** Runs the call; resolves with its outcome once its answer has ended. */
	async run(): Promise<Outcome> {
		const {call, origin, response} = this.#input;
		const timer = setTimeout(
			() => {
				this.#stop('deadline');
			},
			Math.max(0, call.deadlineAtMs - readMonotonicMs()) + deadlineGraceMs,
		);
		const cancel = () => {
			this.#stop('cancelled');
		};

		const isChild = origin.kind === 'server' && this.#input.once === undefined;
		const removeChild = isChild ? origin.parent.addChild(cancel) : undefined;
		response.once('close', () => {
			// A once call runs to its end, so that it is not left half done.
			if (!response.writableFinished && this.#input.once === undefined) {
				cancel();
			}
		});
		try {
			return this.#recordLoad(await this.#runAttempts());
		} finally {
			clearTimeout(timer);
			removeChild?.();
			this.#closeAllowance();
		}
	}

	/** The allowance of a parent stays open for its other children. */
	#closeAllowance(): void {
		const {origin, call} = this.#input;
		if (origin.kind !== 'server' || call.retryKind === 'perHop') {
			this.#allowance.close();
		}
	}

	#stop(why: 'deadline' | 'cancelled'): void {
		if (this.#ended !== 'no') {
			return;
		}

		this.#ended = why;
		this.#runner.cancel();
		this.#relayed?.cancel();
	}

	/** Counts the end of the call for early shedding. */
	#recordLoad(outcome: Outcome): Outcome {
		const {call, origin} = this.#input;
		if (!this.#wasSent || this.#ended === 'cancelled') {
			return outcome;
		}

		const load = classifyLoad(outcome, this.#overload !== 'none', this.#ended === 'deadline');
		this.#entry.load.recordOutcome(call, origin, load);
		return outcome;
	}

	/** Makes attempts until one gives the answer or no other is allowed. */
	async #runAttempts(): Promise<Outcome> {
		if (this.#entry.load.isShedEarly(this.#input.call, this.#input.origin)) {
			return this.#refuse({kind: 'notRun', reason: 'overload'}, 'its guards shed such calls');
		}

		for (let attempts = 1; ; attempts++) {
			const choice = this.#chooseServer();
			if (choice.kind === 'refused') {
				return this.#refuse({kind: 'notRun', reason: choice.reason}, 'no server takes the call');
			}

			this.#wasSent = true;
			const {head, winner} = await this.#runAttempt(choice.member);
			this.#overload = findOverload(head);
			this.#recordProof(head);
			const decision = this.#advisor.chooseNext(head, attempts, this.#tried);
			if (decision.kind === 'stop' || this.#ended !== 'no') {
				return head.answer === undefined
					? this.#refuse(settleOutcome(head.outcome, this.#ended), head.detail)
					: this.#relay(head, winner.attempt);
			}

			// An answer that says "not now" is dropped and asked for elsewhere.
			winner.attempt.cancel();
			this.#spendRetry();
			await this.#waitBeforeRetry(decision);
			if (this.#ended !== 'no') {
				return this.#refuse(settleOutcome(head.outcome, this.#ended), head.detail);
			}
		}
	}

	#recordProof(head: AttemptHead): void {
		if (this.#input.once?.onlyInstanceId !== undefined && head.report !== undefined) {
			this.#proof.recordOnlyGuard(head.outcome);
			return;
		}

		this.#proof.record(head.outcome);
	}

	#spendRetry(): void {
		this.#entry.metrics.countRetry(this.#input.call.context.service);
		if (!this.#allowance.spend()) {
			throw AllowanceInvariantError.create('a retry was decided with nothing left');
		}
	}

	/** Without an allowance a hop doesn't remember which servers it has tried. */
	#chooseServer(): RouteChoice {
		const {call, once} = this.#input;
		const excluded = call.retryKind === 'perHop' ? noServers : this.#tried;
		const bytes = readBodyLength(this.#input.request);
		return this.#entry.chooseServer(call, excluded, bytes, once?.onlyInstanceId);
	}

	async #waitBeforeRetry(decision: Exclude<RetryDecision, {kind: 'stop'}>): Promise<void> {
		if (decision.kind === 'again') {
			this.#tried.clear();
		}

		if (decision.delayMs > 0) {
			await wait(decision.delayMs);
		}
	}

	/** Sends one attempt, and a hedge where policy asks for it and the answer is late. */
	async #runAttempt(member: Member): Promise<HedgeResult> {
		this.#tried.add(member.server);
		const first = this.#runner.start(member);
		const hedge = this.#advisor.chooseHedge();
		if (hedge.kind === 'none') {
			return {winner: first, head: await first.head};
		}

		return runHedged({
			first,
			delayMs: hedge.delayMs,
			startSecond: () => this.#startHedge(),
		});
	}

	/** Sends the second attempt of a hedge, unless the service has become overloaded since. */
	#startHedge(): RunningAttempt | undefined {
		if (this.#ended !== 'no' || this.#advisor.chooseHedge().kind === 'none') {
			return undefined;
		}

		const choice = this.#chooseServer();
		if (choice.kind === 'refused') {
			return undefined;
		}

		this.#tried.add(choice.member.server);
		// The other attempt runs still, so that no refusal of this one proves that nothing ran.
		this.#proof.record({kind: 'unknown', reason: 'hedged'});
		this.#spendRetry();
		return this.#runner.start(choice.member);
	}

	async #relay(head: AttemptHead, attempt: Attempt): Promise<Outcome> {
		const {response, call, once} = this.#input;
		const {answer} = head;
		const isWanted = !response.destroyed || once !== undefined;
		if (answer === undefined || !isWanted) {
			attempt.cancel();
			return {kind: 'unknown', reason: 'cancelled'};
		}

		if (this.#ended !== 'no') {
			attempt.cancel();
			return this.#refuse({kind: 'unknown', reason: this.#ended}, 'the answer came too late');
		}

		this.#relayed = attempt;
		const headers = convertToEndToEnd(answer.headers);
		once?.collector?.start(answer.status, headers);
		if (!response.destroyed) {
			response.writeHead(answer.status, {
				...headers,
				[headerNames.request]: call.context.requestId,
				[headerNames.version]: String(call.context.policyVersion),
			});
		}

		const end = await relayBody(attempt.exchange, response, {
			outlivesReceiver: once !== undefined,
			copy: once?.collector,
		});
		return end.kind === 'whole' ? head.outcome : {kind: 'unknown', reason: 'truncated'};
	}

	#refuse(refusal: Refusal, detail: string): Outcome {
		const {call, response} = this.#input;
		const outcome = this.#proof.settle(refusal);
		answerProblem(
			response,
			{
				status: chooseRefusalStatus(outcome),
				title: outcome.kind === 'notRun' ? 'Not run' : 'No whole answer',
				detail,
				outcome,
				requestId: call.context.requestId,
				...(outcome.kind === 'notRun' ? {retryAfterSeconds: 1} : {}),
			},
			{[headerNames.version]: String(call.context.policyVersion)},
		);
		return outcome;
	}
}
