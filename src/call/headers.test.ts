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

test('a call context is unchanged by encoding and decoding', t => {
	const decoded = decodeContext(encodeContext(context) as Record<string, string>);
	t.deepEqual(decoded._unsafeUnwrap(), context);
});

test('the error for a malformed deadline names the header and its value', t => {
	const headers = {
		...(encodeContext(context) as Record<string, string>),
		'primrosevalve-deadline': 'soon',
	};
	const error = decodeContext(headers)._unsafeUnwrapErr();
	t.regex(error.message, /primrosevalve-deadline.*soon/v);
});

test('a call without the depth header, as sent by old releases, has depth 1', t => {
	const headers = encodeContext(context) as Record<string, string>;
	delete headers['primrosevalve-depth'];
	t.is(decodeContext(headers)._unsafeUnwrap().depth, 1);
});

test('a report is unchanged by encoding and decoding', t => {
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

test('notRun with an unknown reason is decoded as unknown', t => {
	const outcome = decodeOutcome(
		{'primrosevalve-outcome': 'notRun', 'primrosevalve-reason': 'because'},
		503,
	);
	t.is(outcome.kind, 'unknown');
});

test('a malformed caller or once key is returned as an error, not thrown', t => {
	for (const name of ['primrosevalve-caller', 'primrosevalve-once-key']) {
		const headers = {...(encodeContext(context) as Record<string, string>), [name]: '%'};
		t.is(decodeContext(headers)._unsafeUnwrapErr().header, name);
	}
});
