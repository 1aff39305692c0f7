/**
 * Header codec for the call context, the guard's report and the outcome.
 *
 * Context headers are trusted on the peer port only; the entry removes them from callers' requests.
 */
import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {CallHeaderError} from './errors.ts';
import {
	importance,
	type CallContext,
	type GuardReport,
	type GuardState,
	type Importance,
	type NotRunReason,
	type ClaimReference,
	type Outcome,
	notRunReasons,
} from './types.ts';

/** Prefix of all headers of the overload control layer. */
export const headerPrefix = 'primrosevalve-';

export const headerNames = {
	request: 'primrosevalve-request',
	attempt: 'primrosevalve-attempt',
	call: 'primrosevalve-call',
	caller: 'primrosevalve-caller',
	importance: 'primrosevalve-importance',
	deadline: 'primrosevalve-deadline',
	depth: 'primrosevalve-depth',
	allowance: 'primrosevalve-allowance',
	allowanceLeft: 'primrosevalve-allowance-left',
	size: 'primrosevalve-size',
	idempotent: 'primrosevalve-idempotent',
	version: 'primrosevalve-version',
	onceKey: 'primrosevalve-once-key',
	onceNonce: 'primrosevalve-once-nonce',
	onceFingerprint: 'primrosevalve-once-fingerprint',
	/** Marks an answer that was stored for an earlier attempt. */
	onceRepeated: 'primrosevalve-once-repeated',
	/** Opaque header that a backend server copies to its outgoing calls. */
	context: 'primrosevalve-context',
	outcome: 'primrosevalve-outcome',
	reason: 'primrosevalve-reason',
	server: 'primrosevalve-server',
	instance: 'primrosevalve-instance',
	level: 'primrosevalve-level',
	overloadedBelow: 'primrosevalve-overloaded-below',
	slotsInUse: 'primrosevalve-slots-in-use',
	slotLimit: 'primrosevalve-slot-limit',
	queued: 'primrosevalve-queued',
	state: 'primrosevalve-state',
	peerKey: 'primrosevalve-peer-key',
} as const;

const maxDeadlineMs = 3_600_000;
const maxAllowance = 1000;
/** Largest depth that is accepted in the header; a policy allows at most 32. */
const maxDepth = 1000;
/** Depth of a call without the header, which is sent by releases that did not have it yet. */
const defaultDepth = 1;
const guardStates: readonly GuardState[] = ['cold', 'serving', 'draining'];
const reasonTexts: ReadonlySet<string> = new Set(Object.values(notRunReasons));

/** Reads one header as text; undefined if it is empty or repeated. */
function readText(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return typeof value === 'string' && value.length > 0 ? value : undefined;
}

/** Reads one header as an integer from 0 to `max`. */
function readCount(headers: IncomingHttpHeaders, name: string, max: number): number | undefined {
	const text = readText(headers, name);
	if (text === undefined || !/^\d{1,10}$/v.test(text)) {
		return undefined;
	}

	const value = Number(text);
	return value <= max ? value : undefined;
}

function readImportance(headers: IncomingHttpHeaders, name: string): Importance | undefined {
	const value = readCount(headers, name, importance.critical);
	return value as Importance | undefined;
}

/** Decodes percent-encoded text; undefined if it is malformed. */
function decodeText(text: string): string | undefined {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
}

/** Reads the claim reference; undefined if one of its headers is missing or malformed. */
function readClaimReference(headers: IncomingHttpHeaders): ClaimReference | undefined {
	const key = readText(headers, headerNames.onceKey);
	const nonce = readText(headers, headerNames.onceNonce);
	const fingerprint = readText(headers, headerNames.onceFingerprint);
	if (key === undefined || nonce === undefined || fingerprint === undefined) {
		return undefined;
	}

	const decodedKey = decodeText(key);
	return decodedKey === undefined ? undefined : {key: decodedKey, nonce, fingerprint};
}

/**
 * Encodes a call context as request headers for the peer port.
 *
 * @example
 * const headers = encodeContext(context);
 */
export function encodeContext(context: CallContext): OutgoingHttpHeaders {
	const headers: OutgoingHttpHeaders = {
		[headerNames.request]: context.requestId,
		[headerNames.attempt]: context.attemptId,
		[headerNames.call]: `${context.service}/${context.callName}`,
		[headerNames.caller]: encodeURIComponent(context.caller),
		[headerNames.importance]: String(context.importance),
		[headerNames.deadline]: String(Math.max(0, Math.floor(context.deadlineMs))),
		[headerNames.depth]: String(context.depth),
		[headerNames.allowance]: String(context.retryAllowance),
		[headerNames.size]: context.sizeClass,
		[headerNames.idempotent]: context.idempotent ? '1' : '0',
		[headerNames.version]: String(context.policyVersion),
	};
	if (context.once !== undefined) {
		headers[headerNames.onceKey] = encodeURIComponent(context.once.key);
		headers[headerNames.onceNonce] = context.once.nonce;
		headers[headerNames.onceFingerprint] = context.once.fingerprint;
	}

	return headers;
}

/**
 * Decodes a call context from the headers of a peer's request.
 *
 * @returns the context, or the name and value of the first header that is missing or malformed
 * @example
 * const context = decodeContext(request.headers);
 */
export function decodeContext(headers: IncomingHttpHeaders): Result<CallContext, CallHeaderError> {
	const requestId = readText(headers, headerNames.request);
	if (requestId === undefined) {
		return err(CallHeaderError.create(headerNames.request, headers[headerNames.request]));
	}

	const attemptId = readText(headers, headerNames.attempt);
	if (attemptId === undefined) {
		return err(CallHeaderError.create(headerNames.attempt, headers[headerNames.attempt]));
	}

	const call = readText(headers, headerNames.call);
	const separator = call?.indexOf('/') ?? -1;
	if (call === undefined || separator < 1) {
		return err(CallHeaderError.create(headerNames.call, headers[headerNames.call]));
	}

	const level = readImportance(headers, headerNames.importance);
	if (level === undefined) {
		return err(CallHeaderError.create(headerNames.importance, headers[headerNames.importance]));
	}

	const deadlineMs = readCount(headers, headerNames.deadline, maxDeadlineMs);
	if (deadlineMs === undefined) {
		return err(CallHeaderError.create(headerNames.deadline, headers[headerNames.deadline]));
	}

	const retryAllowance = readCount(headers, headerNames.allowance, maxAllowance);
	if (retryAllowance === undefined) {
		return err(CallHeaderError.create(headerNames.allowance, headers[headerNames.allowance]));
	}

	const caller = decodeText(readText(headers, headerNames.caller) ?? 'anonymous');
	if (caller === undefined) {
		return err(CallHeaderError.create(headerNames.caller, headers[headerNames.caller]));
	}

	const once = readClaimReference(headers);
	if (once === undefined && headers[headerNames.onceKey] !== undefined) {
		return err(CallHeaderError.create(headerNames.onceKey, headers[headerNames.onceKey]));
	}

	return ok({
		requestId,
		attemptId,
		service: call.slice(0, separator),
		callName: call.slice(separator + 1),
		caller,
		importance: level,
		deadlineMs,
		depth: readCount(headers, headerNames.depth, maxDepth) ?? defaultDepth,
		retryAllowance,
		sizeClass: headers[headerNames.size] === 'long' ? 'long' : 'short',
		idempotent: headers[headerNames.idempotent] === '1',
		policyVersion: readCount(headers, headerNames.version, Number.MAX_SAFE_INTEGER) ?? 0,
		...(once === undefined ? {} : {once}),
	});
}

/**
 * Encodes a guard's report as answer headers.
 *
 * @example
 * response.writeHead(200, encodeReport(report));
 */
export function encodeReport(report: GuardReport): OutgoingHttpHeaders {
	return {
		[headerNames.server]: report.server,
		[headerNames.instance]: report.instanceId,
		[headerNames.level]: String(report.admissionLevel),
		[headerNames.overloadedBelow]: report.isOverloadedBelow ? '1' : '0',
		[headerNames.slotsInUse]: String(report.slotsInUse),
		[headerNames.slotLimit]: String(report.slotLimit),
		[headerNames.queued]: String(report.queued),
		[headerNames.state]: report.state,
	};
}

/**
 * Decodes a guard's report from answer headers.
 *
 * @returns undefined if the answer has no valid report, for example if it comes from a plain relay
 * @example
 * const report = decodeReport(answer.headers);
 */
export function decodeReport(headers: IncomingHttpHeaders): GuardReport | undefined {
	const server = readText(headers, headerNames.server);
	const instanceId = readText(headers, headerNames.instance);
	const admissionLevel = readImportance(headers, headerNames.level);
	const state = guardStates.find(candidate => candidate === headers[headerNames.state]);
	if (
		server === undefined ||
		instanceId === undefined ||
		admissionLevel === undefined ||
		state === undefined
	) {
		return undefined;
	}

	return {
		server,
		instanceId,
		admissionLevel,
		isOverloadedBelow: headers[headerNames.overloadedBelow] === '1',
		slotsInUse: readCount(headers, headerNames.slotsInUse, maxDeadlineMs) ?? 0,
		slotLimit: readCount(headers, headerNames.slotLimit, maxDeadlineMs) ?? 0,
		queued: readCount(headers, headerNames.queued, maxDeadlineMs) ?? 0,
		state,
	};
}

/**
 * Decodes the outcome that a guard or an entry set in answer headers.
 *
 * @param status - HTTP status of the answer
 * @returns `answered` if the headers state no other outcome
 * @example
 * const outcome = decodeOutcome(answer.headers, answer.statusCode);
 */
export function decodeOutcome(headers: IncomingHttpHeaders, status: number): Outcome {
	const kind = readText(headers, headerNames.outcome);
	const reason = readText(headers, headerNames.reason) ?? '';
	switch (kind) {
		case 'notRun': {
			// A reason that is not known does not prove that the call was not run.
			return reasonTexts.has(reason)
				? {kind, reason: reason as NotRunReason}
				: {kind: 'unknown', reason: `unreadable reason "${reason}"`};
		}

		case 'unknown':
		case 'failed': {
			return {kind, reason};
		}

		default: {
			return {kind: 'answered', status};
		}
	}
}
