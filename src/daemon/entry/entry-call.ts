/**
 * One call at the entry: sends attempts, retries and hedges, and relays the answer to the caller.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {headerNames} from '../../call/headers.ts';
import {ExecutionTracker, type UnansweredOutcome} from '../../call/execution-tracker.ts';
import {type Outcome} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {CallAllowance} from '../../retry/allowance.ts';
import {AllowanceInvariantError} from '../../retry/errors.ts';
import {type RetryDecision} from '../../retry/retry-decision.ts';
import {type RetryAllowance} from '../../retry/types.ts';
import {type RouteChoice} from '../../routing/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {sendProblem, chooseProblemStatus} from '../http/problem.ts';
import {relayBody} from '../http/relay.ts';
import {copyEndToEndHeaders} from '../http/request-headers.ts';
import {type Attempt, type AttemptHead} from './attempt.ts';
import {type EarlyEnd, computeUnansweredOutcome} from './early-end.ts';
import {AttemptRunner, readBodyLength, type RunningAttempt} from './attempt-runner.ts';
import {type EntryCallInput} from './entry-call-input.ts';
import {type EntryTask} from './entry-task.ts';
import {runHedgedAttempt, type HedgedAttemptResult} from './hedged-attempt.ts';
import {classifyLoad, findOverload, type OverloadLocation} from './load-outcome.ts';
import {RetryAdvisor} from './retry-advisor.ts';

/** Time past the deadline during which the guard's own outcome for the missed deadline may still arrive. */
const deadlineGraceMs = 50;
const noServers: ReadonlySet<string> = new Set();

/** Runs one call, which ends with exactly one outcome. */
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
	readonly #executionTracker: ExecutionTracker;
	readonly #triedServers = new Set<string>();
	#relayed: Attempt | undefined;
	#earlyEnd: EarlyEnd = 'no';
	#hasSentAttempt = false;
	/** Where the last attempt met an overload, if it did. */
	#overload: OverloadLocation = 'none';

	private constructor(entry: EntryTask, input: EntryCallInput) {
		this.#entry = entry;
		this.#input = input;
		const {origin, call, request, body, once} = input;
		// A call with a minted key may have run before; only the instance named in the key has a record of it.
		this.#executionTracker = ExecutionTracker.create(once?.onlyInstanceId !== undefined);
		// The parent call is tracked in this process, so its child calls spend and lend from its allowance.
		this.#allowance =
			origin.kind === 'server' && call.retryKind === 'allowance'
				? origin.parent.allowance
				: CallAllowance.create(call.context.retryAllowance);
		this.#advisor = RetryAdvisor.create({
			call,
			body,
			allowance: this.#allowance,
			router: entry.router,
			isShedding: () => entry.overloadTracker.isOverloaded(call),
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

	/** Runs the call; resolves with its outcome after the answer to the caller has ended. */
	async run(): Promise<Outcome> {
		const {call, origin, response} = this.#input;
		const timer = setTimeout(
			() => {
				this.#endEarly('deadline');
			},
			Math.max(0, call.deadlineAtMs - readMonotonicMs()) + deadlineGraceMs,
		);
		const cancel = () => {
			this.#endEarly('cancelled');
		};

		const isCancelledWithParent = origin.kind === 'server' && this.#input.once === undefined;
		const removeChild = isCancelledWithParent ? origin.parent.addChild(cancel) : undefined;
		response.once('close', () => {
			// A once call is not cancelled when its caller disconnects, so that it is not left incomplete.
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

	/** Closes the allowance, unless it is the parent call's, which its other child calls still use. */
	#closeAllowance(): void {
		const {origin, call} = this.#input;
		if (origin.kind !== 'server' || call.retryKind === 'perHop') {
			this.#allowance.close();
		}
	}

	/** Cancels all attempts and the relay; only the first reason is kept. */
	#endEarly(reason: 'deadline' | 'cancelled'): void {
		if (this.#earlyEnd !== 'no') {
			return;
		}

		this.#earlyEnd = reason;
		this.#runner.cancel();
		this.#relayed?.cancel();
	}

	/** Records the outcome for early shedding; calls that were never sent or were cancelled are not counted. */
	#recordLoad(outcome: Outcome): Outcome {
		const {call, origin} = this.#input;
		if (!this.#hasSentAttempt || this.#earlyEnd === 'cancelled') {
			return outcome;
		}

		const load = classifyLoad(outcome, this.#overload !== 'none', this.#earlyEnd === 'deadline');
		this.#entry.overloadTracker.recordOutcome(call, origin, load);
		return outcome;
	}

	/** Sends attempts until one is answered or no retry is allowed. */
	async #runAttempts(): Promise<Outcome> {
		if (this.#entry.overloadTracker.shouldShedEarly(this.#input.call, this.#input.origin)) {
			return this.#fail({kind: 'notRun', reason: 'overload'}, 'its guards shed such calls');
		}

		for (let attempts = 1; ; attempts++) {
			const choice = this.#chooseServer();
			if (choice.kind === 'refused') {
				return this.#fail({kind: 'notRun', reason: choice.reason}, 'no server takes the call');
			}

			this.#hasSentAttempt = true;
			const {head, winner} = await this.#runAttempt(choice.member);
			this.#overload = findOverload(head);
			this.#recordAttemptOutcome(head);
			const decision = this.#advisor.chooseNext(head, attempts, this.#triedServers);
			if (decision.kind === 'stop' || this.#earlyEnd !== 'no') {
				return head.answer === undefined
					? this.#fail(computeUnansweredOutcome(head.outcome, this.#earlyEnd), head.detail)
					: this.#relay(head, winner.attempt);
			}

			// An answer with a transient error status is discarded and the call is retried.
			winner.attempt.cancel();
			this.#spendRetry();
			await this.#waitBeforeRetry(decision);
			if (this.#earlyEnd !== 'no') {
				return this.#fail(computeUnansweredOutcome(head.outcome, this.#earlyEnd), head.detail);
			}
		}
	}

	/** For a minted key, an outcome from the one guard that can run the call replaces all earlier ones. */
	#recordAttemptOutcome(head: AttemptHead): void {
		if (this.#input.once?.onlyInstanceId !== undefined && head.report !== undefined) {
			this.#executionTracker.recordSoleGuardOutcome(head.outcome);
			return;
		}

		this.#executionTracker.record(head.outcome);
	}

	#spendRetry(): void {
		this.#entry.metrics.countRetry(this.#input.call.context.service);
		if (!this.#allowance.trySpend()) {
			throw AllowanceInvariantError.create('a retry was chosen with no allowance left');
		}
	}

	/** In per-hop mode, servers that were already tried are not excluded. */
	#chooseServer(): RouteChoice {
		const {call, once} = this.#input;
		const excluded = call.retryKind === 'perHop' ? noServers : this.#triedServers;
		const bytes = readBodyLength(this.#input.request);
		return this.#entry.chooseServer(call, excluded, bytes, once?.onlyInstanceId);
	}

	async #waitBeforeRetry(decision: Exclude<RetryDecision, {kind: 'stop'}>): Promise<void> {
		if (decision.kind === 'again') {
			this.#triedServers.clear();
		}

		if (decision.delayMs > 0) {
			await wait(decision.delayMs);
		}
	}

	/** Sends one attempt, and a hedge if the policy enables hedging and the answer is late. */
	async #runAttempt(member: Member): Promise<HedgedAttemptResult> {
		this.#triedServers.add(member.server);
		const first = this.#runner.start(member);
		const hedge = this.#advisor.chooseHedge();
		if (hedge.kind === 'none') {
			return {winner: first, head: await first.head};
		}

		return runHedgedAttempt({
			first,
			delayMs: hedge.delayMs,
			startSecond: () => this.#startHedge(),
		});
	}

	/** Sends the second attempt of a hedge, unless the service has become overloaded in the meantime. */
	#startHedge(): RunningAttempt | undefined {
		if (this.#earlyEnd !== 'no' || this.#advisor.chooseHedge().kind === 'none') {
			return undefined;
		}

		const choice = this.#chooseServer();
		if (choice.kind === 'refused') {
			return undefined;
		}

		this.#triedServers.add(choice.member.server);
		// The first attempt is still running, so a refusal of the second does not prove that the call did not run.
		this.#executionTracker.record({kind: 'unknown', reason: 'hedged'});
		this.#spendRetry();
		return this.#runner.start(choice.member);
	}

	/** Relays the answer to the caller; a once call reads it to its end even if the caller has disconnected. */
	async #relay(head: AttemptHead, attempt: Attempt): Promise<Outcome> {
		const {response, call, once} = this.#input;
		const {answer} = head;
		const isAnswerNeeded = !response.destroyed || once !== undefined;
		if (answer === undefined || !isAnswerNeeded) {
			attempt.cancel();
			return {kind: 'unknown', reason: 'cancelled'};
		}

		if (this.#earlyEnd !== 'no') {
			attempt.cancel();
			return this.#fail({kind: 'unknown', reason: this.#earlyEnd}, 'the answer came too late');
		}

		this.#relayed = attempt;
		const headers = copyEndToEndHeaders(answer.headers);
		once?.collector?.start(answer.status, headers);
		if (!response.destroyed) {
			response.writeHead(answer.status, {
				...headers,
				[headerNames.request]: call.context.requestId,
				[headerNames.version]: String(call.context.policyVersion),
			});
		}

		const end = await relayBody(attempt.exchange, response, {
			continuesAfterDisconnect: once !== undefined,
			collector: once?.collector,
		});
		return end.kind === 'whole' ? head.outcome : {kind: 'unknown', reason: 'truncated'};
	}

	/** Ends the call with a problem answer; `notRun` becomes `unknown` if an attempt may have run. */
	#fail(refusal: UnansweredOutcome, detail: string): Outcome {
		const {call, response} = this.#input;
		const outcome = this.#executionTracker.resolveOutcome(refusal);
		sendProblem(
			response,
			{
				status: chooseProblemStatus(outcome),
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
