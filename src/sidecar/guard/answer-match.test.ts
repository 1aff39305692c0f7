/** Guards against an answer of one request that is taken for the answer of another (REFUSED, TWICE, MIXED). */
import test from 'ava';
import {matchAnswer} from './answer-match.ts';

const first = {requestId: 'mine', isFirst: true};
const kept = {requestId: 'mine', isFirst: false};
const refusal = {status: 503, isNotRun: true};

test('an answer with the id of the request is its answer, on any connection', t => {
	t.is(matchAnswer({requestId: 'mine', status: 200, isNotRun: false}, kept), 'matched');
	t.is(matchAnswer({requestId: 'mine', ...refusal}, kept), 'matched');
});

test('an answer with another id is foreign', t => {
	t.is(matchAnswer({requestId: 'other', ...refusal}, first), 'foreign');
	t.is(matchAnswer({requestId: '', ...refusal}, first), 'foreign');
});

test('a refusal without an id counts for a request without one, the only one of its connection', t => {
	const nameless = {requestId: '', isFirst: true};
	t.is(matchAnswer({requestId: undefined, ...refusal}, nameless), 'matched');
	t.is(matchAnswer({requestId: undefined, ...refusal}, {...nameless, isFirst: false}), 'foreign');
	t.is(matchAnswer({requestId: undefined, ...refusal}, first), 'foreign');
	t.is(matchAnswer({requestId: undefined, ...refusal}, kept), 'foreign');
	t.is(matchAnswer({requestId: undefined, status: 200, isNotRun: false}, first), 'foreign');
});

test('a status that promises that the request has not run needs the statement of the server', t => {
	for (const status of [408, 429, 503]) {
		t.is(matchAnswer({requestId: 'mine', status, isNotRun: false}, first), 'unproved');
	}

	t.is(matchAnswer({requestId: 'mine', status: 500, isNotRun: false}, first), 'matched');
});
