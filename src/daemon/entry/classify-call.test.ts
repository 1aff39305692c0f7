/** Services that call one another in a cycle: the policy bounds the length of a call chain. */
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import test from 'ava';
import {importance, type CallContext} from '../../call/types.ts';
import {PolicyMatcher} from '../../policy/match.ts';
import {validatePolicy} from '../../policy/validate.ts';
import {CallAllowance} from '../../retry/allowance.ts';
import {RunningCall} from '../guard/running-calls.ts';
import {classifyCall} from './classify-call.ts';

const parentContext: CallContext = {
	requestId: 'r-1',
	attemptId: 'a-1',
	service: 'catalogue',
	callName: '*',
	caller: 'anonymous',
	importance: importance.low,
	deadlineMs: 1000,
	depth: 1,
	retryAllowance: 0,
	sizeClass: 'short',
	idempotent: true,
	policyVersion: 1,
};

function classify(depth: number) {
	const document = {services: [{name: 'commandes'}], retries: {maxDepth: 3}};
	const matcher = PolicyMatcher.create(validatePolicy(document)._unsafeUnwrap());
	const context = {...parentContext, depth};
	const parent = RunningCall.create(context, CallAllowance.create(0), Number.POSITIVE_INFINITY);
	const request = new IncomingMessage(new Socket());
	request.url = '/commandes/orders/1';
	request.method = 'GET';
	return classifyCall(request, {matcher, policyVersion: 1, origin: {kind: 'server', parent}});
}

test('a child call lengthens its call chain by one', t => {
	t.is(classify(2)._unsafeUnwrap().context.depth, 3);
});

test('a call chain longer than the policy allows is refused with the service and the limit', t => {
	const refusal = classify(3)._unsafeUnwrapErr();
	t.like(refusal, {status: 508, title: 'Loop Detected', reason: 'too-deep'});
	t.is(refusal.detail, 'the chain of calls to service "commandes" is longer than 3');
});
