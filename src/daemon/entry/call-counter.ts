/**
 * Counts calls that have ended, and logs those that failed or missed their latency objective.
 */
import {type Outcome} from '../../call/types.ts';
import {LatencyObjectives} from '../../policy/latency-objectives.ts';
import {type Policy} from '../../policy/schema.ts';
import {type Logger} from '../../reporting/logger.ts';
import {type Metrics} from '../../reporting/metrics.ts';
import {type ClassifiedCall} from './classify-call.ts';

export type CallCounterOptions = {
	readonly logger: Logger;
	readonly metrics: Metrics;
	/** Counts a call under the policy version that classified it. */
	readonly countCallForPolicyVersion?: (version: number) => void;
};

export class CallCounter {
	/**
	 * @example
	 * const counter = CallCounter.create({logger, metrics}, policy.document);
	 * counter.count(call, {kind: 'answered', status: 200}, 12);
	 */
	static create(options: CallCounterOptions, policy: Policy): CallCounter {
		return new CallCounter(options, LatencyObjectives.create(policy));
	}

	private constructor(
		private readonly options: CallCounterOptions,
		private objectives: LatencyObjectives,
	) {}

	applyPolicy(policy: Policy): void {
		this.objectives = LatencyObjectives.create(policy);
	}

	/** Counts a call by its outcome and by whether it met its latency objective. */
	count(call: ClassifiedCall, outcome: Outcome, latencyMs: number): void {
		const {logger, metrics, countCallForPolicyVersion} = this.options;
		countCallForPolicyVersion?.(call.context.policyVersion);
		const {service, caller} = call.context;
		const isGood =
			outcome.kind === 'answered' &&
			outcome.status < 500 &&
			latencyMs <= this.objectives.findLatencyMs(service, caller);
		metrics.countCall({service, caller, outcome: outcome.kind, isGood, latencyMs});
		if (isGood) {
			return;
		}

		logger.debug(
			{
				requestId: call.context.requestId,
				service,
				call: call.context.callName,
				outcome: outcome.kind,
				reason: 'reason' in outcome ? outcome.reason : String(outcome.status),
				version: call.context.policyVersion,
			},
			'call failed or missed its latency objective',
		);
	}
}
