import test from 'ava';
import {
	decodeContext,
	decodeOutcome,
	decodeReport,
	encodeContext,
	encodeReport,
} from './headers.ts';
import {importance, type CallContext} from './types.ts';

const context: CallContext = {
	requestId: 'r-1',
	attemptId: 'a-1',
	service: 'commandes',
	callName: 'cutting-order',
	caller: 'café',
	importance: importance.critical,
	deadlineMs: 1500,
	depth: 2,
	retryAllowance: 3,
	sizeClass: 'short',
	idempotent: false,
	policyVersion: 7,
	once: {key: 'order/é 1', nonce: 'n-1', fingerprint: 'f-1'},
};

test('a context survives the header codec', t => {
	const decoded = decodeContext(encodeContext(context) as Record<string, string>);
	t.deepEqual(decoded._unsafeUnwrap(), context);
});

test('a malformed deadline is refused by name and value', t => {
	const headers = {
		...(encodeContext(context) as Record<string, string>),
		'primrosevalve-deadline': 'soon',
	};
	const error = decodeContext(headers)._unsafeUnwrapErr();
	t.regex(error.message, /primrosevalve-deadline.*soon/v);
});

test('a call of a release that names no depth begins a chain', t => {
	const headers = encodeContext(context) as Record<string, string>;
	delete headers['primrosevalve-depth'];
	t.is(decodeContext(headers)._unsafeUnwrap().depth, 1);
});

test('a report survives the header codec', t => {
	const report = {
		server: 'catalogue-1',
		instanceId: 'i-1',
		admissionLevel: importance.normal,
		isOverloadedBelow: true,
		slotsInUse: 3,
		slotLimit: 10,
		queued: 1,
		state: 'serving',
	} as const;
	t.deepEqual(decodeReport(encodeReport(report) as Record<string, string>), report);
});

test('an unreadable reason is never taken for notRun', t => {
	const outcome = decodeOutcome(
		{'primrosevalve-outcome': 'notRun', 'primrosevalve-reason': 'because'},
		503,
	);
	t.is(outcome.kind, 'unknown');
});

test('a malformed caller or once key is refused, not thrown', t => {
	for (const name of ['primrosevalve-caller', 'primrosevalve-once-key']) {
		const headers = {...(encodeContext(context) as Record<string, string>), [name]: '%'};
		t.is(decodeContext(headers)._unsafeUnwrapErr().header, name);
	}
});
