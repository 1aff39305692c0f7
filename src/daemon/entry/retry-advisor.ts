/**
 * Decides whether a call is retried or hedged, from the current state of the router and the retry allowance.
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
	/** Whether guards currently refuse most calls of this kind for overload. */
	readonly isShedding: () => boolean;
	readonly random: () => number;
};

/** Collects the inputs of the retry and hedge decisions for one call. */
export class RetryAdvisor {
	/**
	 * @example
	 * const advisor = RetryAdvisor.create({call, body, allowance, router, isShedding, random: Math.random});
	 */
	static create(input: RetryAdvisorInput): RetryAdvisor {
		return new RetryAdvisor(input);
	}

	readonly #input: RetryAdvisorInput;

	private constructor(input: RetryAdvisorInput) {
		this.#input = input;
	}

	/**
	 * Chooses whether and where the call is retried after an attempt has ended.
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
		const available = this.#countAvailableRetries();
		if (call.retryKind === 'perHop') {
			return choosePerHopRetry({outcome, isOnce: call.rule.once, available, deadlineLeftMs});
		}

		const {service, callName, idempotent} = call.context;
		return chooseRetry(
			{
				outcome,
				idempotent,
				attempts,
				deadlineLeftMs,
				available,
				untriedServerCount: router.countUntried(service, tried),
				// A child call that was refused for overload has already been retried on other servers.
				isOverloaded: findOverload(head) === 'below' || this.#isOverloaded(nowMs),
				meanLatencyMs: router.readMeanLatencyMs(service, callName),
			},
			random,
		);
	}

	/**
	 * Chooses whether a second attempt is sent if the first one is late, and after which delay.
	 *
	 * @example
	 * const hedge = advisor.chooseHedge();
	 */
	chooseHedge(): HedgeDecision {
		const {call, router} = this.#input;
		const {service, callName, idempotent} = call.context;
		const nowMs = readMonotonicMs();
		return chooseHedge({
			isHedgingEnabled: call.rule.hedge && call.retryKind === 'allowance',
			idempotent,
			available: this.#countAvailableRetries(),
			deadlineLeftMs: call.deadlineAtMs - nowMs,
			isOverloaded: this.#isOverloaded(nowMs),
			latencyP95Ms: router.readHedgeDelayMs(service, callName),
		});
	}

	/** Whether the service is overloaded, so that another attempt would only add load. */
	#isOverloaded(nowMs: number): boolean {
		const {call, router, isShedding} = this.#input;
		return isShedding() || router.isOverloaded(call.context.service, nowMs);
	}

	/** Counts the retries that are left; a streamed body can't be sent again, so it has none. */
	#countAvailableRetries(): number {
		return this.#input.body.kind === 'stream' ? 0 : this.#input.allowance.available;
	}
}
