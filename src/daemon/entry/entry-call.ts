/**
 * One call at the entry: attempts, retries and the relay of the whole answer.
 */
import {randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {type LoadOutcome} from '../../admission/early-shedder.ts';
import {headerNames} from '../../call/headers.ts';
import {type Outcome} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {CallAllowance} from '../../retry/allowance.ts';
import {choosePerHopRetry} from '../../retry/per-hop-decision.ts';
import {chooseRetry} from '../../retry/retry-decision.ts';
import {type RetryAllowance} from '../../retry/types.ts';
import {type AttemptResult, type RouteChoice} from '../../routing/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {answerProblem} from '../http/problem.ts';
import {relayBody} from '../http/relay.ts';
import {type RequestBody} from '../http/request-body.ts';
import {convertToEndToEnd} from '../http/request-headers.ts';
import {Attempt, type AttemptHead} from './attempt.ts';
import {type CallOrigin} from './call-origin.ts';
import {type ClassifiedCall} from './classify-call.ts';
import {type EntryTask} from './entry-task.ts';

type Refusal = Exclude<Outcome, {kind: 'answered'}>;

export type EntryCallInput = {
	readonly call: ClassifiedCall;
	readonly origin: CallOrigin;
	readonly body: RequestBody;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
};

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
	readonly #loanOwner: RetryAllowance | undefined;
	readonly #loanId = randomUUID();
	readonly #tried = new Set<string>();
	#attempt: Attempt | undefined;
	#ended: 'no' | 'deadline' | 'cancelled' = 'no';
	/** Whether the last attempt met an overload here or further down. */
	#isOverloadedBelow = false;

	private constructor(entry: EntryTask, input: EntryCallInput) {
		this.#entry = entry;
		this.#input = input;
		const {origin, call} = input;
		this.#loanOwner =
			origin.kind === 'server' && call.retryKind === 'allowance'
				? origin.parent.allowance
				: undefined;
		const granted =
			this.#loanOwner === undefined
				? call.context.retryAllowance
				: this.#loanOwner.lend(this.#loanId);
		this.#allowance = CallAllowance.create(granted);
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

		const removeChild = origin.kind === 'server' ? origin.parent.addChild(cancel) : undefined;
		response.once('close', () => {
			if (!response.writableFinished) {
				cancel();
			}
		});
		try {
			return this.#recordLoad(await this.#runAttempts());
		} finally {
			clearTimeout(timer);
			removeChild?.();
			this.#loanOwner?.returnLoan(this.#loanId, this.#allowance.close());
		}
	}

	#stop(why: 'deadline' | 'cancelled'): void {
		if (this.#ended !== 'no') {
			return;
		}

		this.#ended = why;
		this.#attempt?.cancel();
	}

	/** Counts the end of the call for early shedding, and tells a parent call of an overload. */
	#recordLoad(outcome: Outcome): Outcome {
		const {call, origin} = this.#input;
		if (this.#attempt === undefined || this.#ended === 'cancelled') {
			return outcome;
		}

		const load = classifyLoad(outcome, this.#isOverloadedBelow, this.#ended === 'deadline');
		this.#entry.recordLoadOutcome(call, load);
		if (load === 'overloaded' && origin.kind === 'server') {
			origin.parent.recordOverloadBelow();
		}

		return outcome;
	}

	/** Makes attempts until one gives the answer or no other is allowed. */
	async #runAttempts(): Promise<Outcome> {
		if (this.#entry.isShedEarly(this.#input.call, this.#input.origin)) {
			return this.#refuse({kind: 'notRun', reason: 'overload'}, 'its guards shed such calls');
		}

		for (let attempts = 1; ; attempts++) {
			const choice = this.#chooseServer();
			if (choice.kind === 'refused') {
				return this.#refuse({kind: 'notRun', reason: choice.reason}, 'no server takes the call');
			}

			const head = await this.#runAttempt(choice.member);
			if (head.answer !== undefined && !this.#canImprove(head, attempts)) {
				return this.#relay(head);
			}

			const decision = this.#decide(head.outcome, attempts);
			if (decision.kind === 'stop') {
				return this.#refuse(this.#settleOutcome(head.outcome), head.detail);
			}

			this.#entry.metrics.countRetry(this.#input.call.context.service);
			this.#allowance.spend();
			await this.#waitBeforeRetry(decision.delayMs);
			if (this.#ended !== 'no') {
				return this.#refuse(this.#settleOutcome(head.outcome), head.detail);
			}
		}
	}

	/** Without an allowance a hop doesn't remember which servers it has tried. */
	#chooseServer(): RouteChoice {
		const {call} = this.#input;
		return this.#entry.chooseServer(call, call.retryKind === 'perHop' ? noServers : this.#tried);
	}

	/** Whether an answer that says "not now" is better dropped and asked for elsewhere. */
	#canImprove(head: AttemptHead, attempts: number): boolean {
		const isRetried = this.#decide(head.outcome, attempts).kind !== 'stop';
		if (isRetried) {
			this.#attempt?.cancel();
		}

		return isRetried;
	}

	#decide(outcome: Outcome, attempts: number) {
		const {call, body} = this.#input;
		const deadlineLeftMs = call.deadlineAtMs - readMonotonicMs();
		const canSendAgain = body.kind !== 'stream' && this.#ended === 'no';
		const available = canSendAgain ? this.#allowance.available : 0;
		if (call.retryKind === 'perHop') {
			return choosePerHopRetry({outcome, once: call.rule.once, available, deadlineLeftMs});
		}

		return chooseRetry(
			{
				outcome,
				idempotent: call.context.idempotent,
				attempts,
				deadlineLeftMs,
				available,
				untriedServers: 1,
				isOverloaded: this.#isOverloadedBelow || this.#entry.isOverloaded(call),
				expectedMs: 0,
			},
			Math.random,
		);
	}

	async #waitBeforeRetry(delayMs: number): Promise<void> {
		if (delayMs > 0) {
			await wait(delayMs);
		}
	}

	async #runAttempt(member: Member): Promise<AttemptHead> {
		const {call, request, body} = this.#input;
		const attemptId = randomUUID();
		const loan = call.retryKind === 'allowance' ? this.#allowance.lend(attemptId) : 0;
		this.#tried.add(member.server);
		const nowMs = readMonotonicMs();
		this.#entry.router.recordStart(member, nowMs);
		const headers = convertToEndToEnd(request.headers);
		delete headers.authorization;
		this.#attempt = Attempt.start({
			dispatcher: this.#entry.pools.open(member, nowMs),
			member,
			context: {
				...call.context,
				attemptId,
				deadlineMs: Math.max(1, call.deadlineAtMs - nowMs),
				retryAllowance: loan,
			},
			method: request.method ?? 'GET',
			path: call.path,
			headers,
			body,
			peerKey: this.#entry.peerKey,
		});
		const head = await this.#attempt.readHead();
		if (call.retryKind === 'allowance') {
			this.#settleLoan(attemptId, head.allowanceLeft);
		}

		this.#isOverloadedBelow = isOverload(head);
		this.#recordResult(member, head);
		return head;
	}

	/** Takes a loan back, or counts it as spent when the answer was lost. */
	#settleLoan(attemptId: string, left: number | undefined): void {
		if (left === undefined) {
			this.#allowance.forfeitLoan(attemptId);
		} else {
			this.#allowance.returnLoan(attemptId, left);
		}
	}

	#recordResult(member: Member, head: AttemptHead): void {
		const kind = this.#ended === 'no' ? classifyResult(head) : 'cancelled';
		this.#entry.router.recordResult(
			{
				member,
				kind,
				latencyMs: head.latencyMs,
				bytes: readContentLength(head),
				...(head.report === undefined ? {} : {report: head.report}),
			},
			readMonotonicMs(),
		);
	}

	async #relay(head: AttemptHead): Promise<Outcome> {
		const {response, call} = this.#input;
		const {answer} = head;
		const attempt = this.#attempt;
		if (answer === undefined || attempt === undefined || response.destroyed) {
			attempt?.cancel();
			return {kind: 'unknown', reason: 'cancelled'};
		}

		response.writeHead(answer.status, {
			...convertToEndToEnd(answer.headers),
			[headerNames.request]: call.context.requestId,
			[headerNames.version]: String(call.context.policyVersion),
		});
		const end = await relayBody(attempt.exchange, response);
		return end.kind === 'whole' ? head.outcome : {kind: 'unknown', reason: 'truncated'};
	}

	/** A call that ended early is told as not run only on proof. */
	#settleOutcome(outcome: Outcome): Refusal {
		if (outcome.kind === 'answered') {
			return {kind: 'failed', reason: `status ${outcome.status}`};
		}

		if (this.#ended !== 'no' && outcome.kind === 'unknown') {
			return {kind: 'unknown', reason: this.#ended};
		}

		return outcome;
	}

	#refuse(outcome: Refusal, detail: string): Outcome {
		const {call, response} = this.#input;
		answerProblem(
			response,
			{
				status: chooseStatus(outcome),
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

function classifyResult(head: AttemptHead): AttemptResult['kind'] {
	switch (head.outcome.kind) {
		case 'answered': {
			return head.outcome.status >= 500 ? 'failed' : 'answered';
		}

		case 'notRun': {
			return head.outcome.reason === 'connect' ? 'unreachable' : 'refused';
		}

		case 'unknown':
		case 'failed': {
			return 'failed';
		}
	}
}

/** Whether an attempt was refused for overload by its guard, or failed by an overload further down. */
function isOverload(head: AttemptHead): boolean {
	switch (head.outcome.kind) {
		case 'answered': {
			return head.outcome.status >= 500 && (head.report?.isOverloadedBelow ?? false);
		}

		case 'notRun': {
			return head.outcome.reason === 'overload' || head.outcome.reason === 'deadline';
		}

		case 'unknown':
		case 'failed': {
			return head.report?.isOverloadedBelow ?? false;
		}
	}
}

/** Sorts the end of a call by what it says about load. */
function classifyLoad(outcome: Outcome, metOverload: boolean, isLate: boolean): LoadOutcome {
	if (outcome.kind === 'answered' && outcome.status < 500) {
		return 'answered';
	}

	return metOverload || isLate ? 'overloaded' : 'other';
}

function readContentLength(head: AttemptHead): number {
	const length = head.answer?.headers['content-length'];
	return length === undefined ? 0 : Number(length);
}

function chooseStatus(outcome: Refusal): number {
	switch (outcome.kind) {
		case 'notRun': {
			return 503;
		}

		case 'unknown': {
			return outcome.reason === 'deadline' ? 504 : 502;
		}

		case 'failed': {
			return 502;
		}
	}
}
