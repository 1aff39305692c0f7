import test from 'ava';
import {LatencyObjectives} from './latency-objectives.ts';
import {policySchema} from './schema.ts';

test("a caller's own objective takes precedence over that for all callers", t => {
	const policy = policySchema.parse({
		services: [{name: 'commandes'}],
		objectives: [
			{service: 'commandes', latencyMs: 1000},
			{service: 'commandes', caller: 'retailer', latencyMs: 200},
		],
	});
	const objectives = LatencyObjectives.create(policy);
	t.is(objectives.findLatencyMs('commandes', 'retailer'), 200);
	t.is(objectives.findLatencyMs('commandes', 'mill'), 1000);
	t.is(objectives.findLatencyMs('catalogue', 'mill'), Number.POSITIVE_INFINITY);
});
