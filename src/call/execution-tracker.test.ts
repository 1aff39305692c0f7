import test from 'ava';
import {ExecutionTracker} from './execution-tracker.ts';

test('a refusal after an attempt that may have run ends as unknown', t => {
	const tracker = ExecutionTracker.create();
	tracker.record({kind: 'notRun', reason: 'overload'});
	t.deepEqual(tracker.resolveOutcome({kind: 'notRun', reason: 'overload'}), {
		kind: 'notRun',
		reason: 'overload',
	});
	tracker.record({kind: 'unknown', reason: 'lost'});
	tracker.record({kind: 'notRun', reason: 'overload'});
	t.is(tracker.resolveOutcome({kind: 'notRun', reason: 'overload'}).kind, 'unknown');
});

test('an answer that was discarded for a retry counts as run', t => {
	const tracker = ExecutionTracker.create();
	tracker.record({kind: 'answered', status: 503});
	t.is(tracker.resolveOutcome({kind: 'notRun', reason: 'no-server'}).kind, 'unknown');
});
