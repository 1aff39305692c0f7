import test from 'ava';
import {RunProof} from './run-proof.ts';

test('a refusal after an attempt that may have run is not told as not run', t => {
	const proof = RunProof.create();
	proof.record({kind: 'notRun', reason: 'overload'});
	t.deepEqual(proof.settle({kind: 'notRun', reason: 'overload'}), {
		kind: 'notRun',
		reason: 'overload',
	});
	proof.record({kind: 'unknown', reason: 'lost'});
	proof.record({kind: 'notRun', reason: 'overload'});
	t.is(proof.settle({kind: 'notRun', reason: 'overload'}).kind, 'unknown');
});

test('an answer that was dropped for a retry counts as run', t => {
	const proof = RunProof.create();
	proof.record({kind: 'answered', status: 503});
	t.is(proof.settle({kind: 'notRun', reason: 'no-server'}).kind, 'unknown');
});
