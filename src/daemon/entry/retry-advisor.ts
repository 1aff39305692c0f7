/**
 * Answers whether a call is tried again or hedged, from what router and allowance know now.
 */
import {choosePerHopRetry} from '../../retry/per-hop-decision.ts';
import {chooseHedge, type HedgeDecision} from '../../retry/hedge-decision.ts';
import {chooseRetry, type RetryDecision} from '../../retry/retry-decision.ts';
import {type RetryAllowance} from '../../retry/types.ts';
import {type Router} from '../../routing/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {type RequestBody} from '../http/request-body.ts';
import {type AttemptHead} from './attempt.ts';
import {type ClassifiedCall} from './classify-call.ts';
import {findOverload} from './load-outcome.ts';

export type RetryAdvisorInput = {
	readonly call: ClassifiedCall;
	readonly body: RequestBody;
	readonly allowance: RetryAllowance;
	readonly router: Router;
	/** Whether guards refuse most calls of this kind at present. */
	readonly isShedding: () => boolean;
	readonly random: () => number;
};

/** Puts the questions of one call to the retry layer. */
export class RetryAdvisor {
	/**
	 * @example
	 * const advisor = RetryAdvisor.create({call, body, allowance, router, random: Math.random});
	 */
	static create(input: RetryAdvisorInput): RetryAdvisor {
		return new RetryAdvisor(input);
	}

	readonly #input: RetryAdvisorInput;

	private constructor(input: RetryAdvisorInput) {
		this.#input = input;
	}

	/**
	 * Chooses what follows an ended attempt.
	 *
	 * @param tried - names of the servers that the call has tried
	 * @example
	 * const decision = advisor.chooseNext(head, 1, tried);
	 */
	chooseNext(head: AttemptHead, attempts: number, tried: ReadonlySet<string>): RetryDecision {
		const {call, router, random} = this.#input;
		const {outcome} = head;
		const nowMs = readMonotonicMs();
		const deadlineLeftMs = call.deadlineAtMs - nowMs;
		const available = this.#countAvailable();
		if (call.retryKind === 'perHop') {
			return choosePerHopRetry({outcome, once: call.rule.once, available, deadlineLeftMs});
		}

		const {service, callName, idempotent} = call.context;
		return chooseRetry(
			{
				outcome,
				idempotent,
				attempts,
				deadlineLeftMs,
				available,
				untriedServers: router.countUntried(service, tried),
				// A child call that was shed has already been tried elsewhere.
				isOverloaded: findOverload(head) === 'below' || this.#isOverloaded(nowMs),
				expectedMs: router.readUsualMs(service, callName),
			},
			random,
		);
	}

	/**
	 * Chooses whether a second attempt follows a late one, and when.
	 *
	 * @example
	 * const hedge = advisor.chooseHedge();
	 */
	chooseHedge(): HedgeDecision {
		const {call, router} = this.#input;
		const {service, callName, idempotent} = call.context;
		const nowMs = readMonotonicMs();
		return chooseHedge({
			isWanted: call.rule.hedge && call.retryKind === 'allowance',
			idempotent,
			available: this.#countAvailable(),
			deadlineLeftMs: call.deadlineAtMs - nowMs,
			isOverloaded: this.#isOverloaded(nowMs),
			lateAfterMs: router.readHedgeDelayMs(service, callName),
		});
	}

	/** Whether another attempt would only add to an overload. */
	#isOverloaded(nowMs: number): boolean {
		const {call, router, isShedding} = this.#input;
		return isShedding() || router.isOverloaded(call.context.service, nowMs);
	}

	/** A body that is streamed can be sent once only. */
	#countAvailable(): number {
		return this.#input.body.kind === 'stream' ? 0 : this.#input.allowance.available;
	}
}
