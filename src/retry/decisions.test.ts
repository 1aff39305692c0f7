import test from 'ava';
import fc from 'fast-check';
import {notRunReasons, type Outcome} from '../call/types.ts';
import {chooseHedge, type HedgeInput} from './hedge-decision.ts';
import {chooseRetry, computeRetryDelayMs, type RetryInput} from './retry-decision.ts';

const retryInput: RetryInput = {
	outcome: {kind: 'notRun', reason: 'connect'},
	idempotent: false,
	attempts: 1,
	deadlineLeftMs: 1000,
	available: 3,
	untriedServerCount: 2,
	isOverloaded: false,
	meanLatencyMs: 20,
};
const half = () => 0.5;

test('a call that provably did not run is retried on another server at once, even if it is not idempotent', t => {
	t.deepEqual(chooseRetry(retryInput, half), {kind: 'elsewhere', delayMs: 0});
});

test('a call that may have run is retried only if it is idempotent', t => {
	const unknown: Outcome = {kind: 'unknown', reason: 'reset'};
	t.deepEqual(chooseRetry({...retryInput, outcome: unknown}, half), {
		kind: 'stop',
		reason: 'may-have-run',
	});
	t.is(chooseRetry({...retryInput, outcome: unknown, idempotent: true}, half).kind, 'elsewhere');
});

test('a call refused because of overload is not retried once all servers were tried or most refuse calls', t => {
	const outcome: Outcome = {kind: 'notRun', reason: 'overload'};
	t.deepEqual(chooseRetry({...retryInput, outcome, untriedServerCount: 0}, half), {
		kind: 'stop',
		reason: 'no-server',
	});
	t.deepEqual(chooseRetry({...retryInput, outcome, isOverloaded: true}, half), {
		kind: 'stop',
		reason: 'overloaded',
	});
});

test('a call ends if the backoff does not fit into the deadline', t => {
	const late = {...retryInput, attempts: 3, deadlineLeftMs: 30};
	t.deepEqual(chooseRetry(late, half), {kind: 'stop', reason: 'deadline'});
});

test('a backoff is capped', t => {
	t.true(computeRetryDelayMs(50, () => 0.999) <= 250);
});

const outcomeArbitrary: fc.Arbitrary<Outcome> = fc.oneof(
	fc.integer({min: 200, max: 599}).map(status => ({kind: 'answered' as const, status})),
	fc
		.constantFrom(...Object.values(notRunReasons))
		.map(reason => ({kind: 'notRun' as const, reason})),
	fc.constantFrom('unknown' as const, 'failed' as const).map(kind => ({kind, reason: 'x'})),
);

test('no retry exceeds the allowance, outlives the deadline or risks a second run', t => {
	t.notThrows(() => {
		fc.assert(
			fc.property(
				outcomeArbitrary,
				fc.boolean(),
				fc.record({
					attempts: fc.integer({min: 1, max: 20}),
					deadlineLeftMs: fc.integer({min: -10, max: 500}),
					available: fc.integer({min: 0, max: 3}),
					untriedServerCount: fc.integer({min: 0, max: 3}),
					isOverloaded: fc.boolean(),
					meanLatencyMs: fc.integer({min: 0, max: 100}),
				}),
				fc.double({min: 0, max: 1, maxExcluded: true, noNaN: true}),
				(outcome, idempotent, rest, drawn) => {
					const decision = chooseRetry({outcome, idempotent, ...rest}, () => drawn);
					if (decision.kind === 'stop') {
						return true;
					}

					const isSafe = idempotent || outcome.kind === 'notRun';
					const isAllowed = rest.available > 0 && !rest.isOverloaded;
					return isSafe && isAllowed && decision.delayMs + rest.meanLatencyMs < rest.deadlineLeftMs;
				},
			),
			{seed: 43, numRuns: 2000},
		);
	});
});

const hedgeInput: HedgeInput = {
	isHedgingEnabled: true,
	idempotent: true,
	available: 1,
	deadlineLeftMs: 500,
	isOverloaded: false,
	latencyP95Ms: 40,
};

test('a hedge is delayed, and sent only if it is enabled, idempotent, within the allowance and useful', t => {
	t.deepEqual(chooseHedge(hedgeInput), {kind: 'hedge', delayMs: 40});
	t.is(chooseHedge({...hedgeInput, idempotent: false}).kind, 'none');
	t.is(chooseHedge({...hedgeInput, isHedgingEnabled: false}).kind, 'none');
	t.is(chooseHedge({...hedgeInput, available: 0}).kind, 'none');
	t.is(chooseHedge({...hedgeInput, isOverloaded: true}).kind, 'none');
	t.is(chooseHedge({...hedgeInput, latencyP95Ms: undefined}).kind, 'none');
	t.is(chooseHedge({...hedgeInput, deadlineLeftMs: 40}).kind, 'none');
});
