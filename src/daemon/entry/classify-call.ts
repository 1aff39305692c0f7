/**
 * Classifies a request by the policy: its service, call rule, importance, deadline and retry allowance.
 */
import {randomUUID} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {
	importance,
	type CallContext,
	type Importance,
	type ImportanceName,
} from '../../call/types.ts';
import {type PolicyMatcher} from '../../policy/match.ts';
import {type CallRule, type Policy} from '../../policy/schema.ts';
import {readMonotonicMs} from '../clock.ts';
import {type CallOrigin} from './call-origin.ts';
import {type CallRefusal, createRefusal} from './call-refusals.ts';

/** A classified request, before its first attempt. */
export type ClassifiedCall = {
	/** Context of the call; each attempt replaces its attempt id, deadline and retry allowance (the loan). */
	readonly context: CallContext;
	readonly rule: CallRule;
	/** Path sent to the backend server, without the service. */
	readonly path: string;
	/** Monotonic milliseconds. */
	readonly deadlineAtMs: number;
	readonly retryKind: Policy['retries']['kind'];
};

export type ClassifyInput = {
	readonly matcher: PolicyMatcher;
	readonly policyVersion: number;
	readonly origin: CallOrigin;
};

type Target = {readonly service: string; readonly path: string};

/**
 * Classifies a request by the policy in force.
 *
 * @returns the call, or a refusal with its status and reason
 * @example
 * const call = classifyCall(request, {matcher, policyVersion: 3, origin});
 */
export function classifyCall(
	request: IncomingMessage,
	input: ClassifyInput,
): Result<ClassifiedCall, CallRefusal> {
	const target = parseTarget(request.url ?? '/');
	if (target === undefined) {
		return err(
			createRefusal(400, `path "${request.url}" has no service; use /SERVICE/PATH`, 'bad-request'),
		);
	}

	const {matcher, origin} = input;
	if (!matcher.hasService(target.service) && input.policyVersion > 0) {
		return err(createRefusal(404, `service "${target.service}" is not known`, 'unknown-call'));
	}

	const accessRefusal = checkCallerAccess(matcher, origin, target.service);
	if (accessRefusal !== undefined) {
		return err(accessRefusal);
	}

	const {maxDepth} = matcher.policy.retries;
	if (computeDepth(origin) > maxDepth) {
		const detail = `the chain of calls to service "${target.service}" is longer than ${maxDepth}`;
		return err(createRefusal(508, detail, 'too-deep'));
	}

	const rule = matcher.findCallRule(target.service, request.method ?? 'GET', target.path);
	return ok(createCall(input, target, rule, request.method ?? 'GET'));
}

/** Splits `/SERVICE/PATH`; undefined if there is no valid service name. */
function parseTarget(url: string): Target | undefined {
	const match = /^\/([a-z\d][a-z\d\-]{0,62})(\/.*)?$/v.exec(url);
	if (match?.[1] === undefined) {
		return undefined;
	}

	return {service: match[1], path: match[2] ?? '/'};
}

/**
 * Checks whether the policy allows the origin to call the service. Only callers are restricted.
 *
 * @returns the refusal, or undefined if the call is allowed
 * @example
 * const refusal = checkCallerAccess(matcher, origin, 'commandes');
 */
export function checkCallerAccess(
	matcher: PolicyMatcher,
	origin: CallOrigin,
	service: string,
): CallRefusal | undefined {
	if (origin.kind !== 'caller') {
		return undefined;
	}

	if (origin.policy === undefined) {
		return matcher.policy.anonymous.allowed
			? undefined
			: createRefusal(401, 'a bearer token is needed', 'bad-request');
	}

	const {services, name} = origin.policy;
	if (services.length > 0 && !services.includes(service)) {
		return createRefusal(403, `caller "${name}" may not call service "${service}"`, 'bad-request');
	}

	return undefined;
}

function createCall(
	input: ClassifyInput,
	target: Target,
	rule: CallRule,
	method: string,
): ClassifiedCall {
	const {origin} = input;
	const nowMs = readMonotonicMs();
	const parent = origin.kind === 'server' ? origin.parent : undefined;
	const {retries} = input.matcher.policy;
	const ruleDeadlineAtMs = nowMs + rule.deadlineMs;
	const deadlineAtMs =
		parent === undefined || retries.kind === 'perHop'
			? ruleDeadlineAtMs
			: Math.min(ruleDeadlineAtMs, parent.deadlineAtMs);
	return {
		rule,
		path: target.path,
		deadlineAtMs,
		retryKind: retries.kind,
		context: {
			requestId: parent?.context.requestId ?? randomUUID(),
			attemptId: '',
			service: target.service,
			callName: rule.name,
			caller: findCallerName(origin),
			importance: computeImportance(input, rule),
			deadlineMs: deadlineAtMs - nowMs,
			depth: computeDepth(origin),
			retryAllowance: retries.perRequest,
			sizeClass: rule.sizeClass === 'long' ? 'long' : 'short',
			idempotent: !rule.once && (rule.idempotent || isSafeMethod(method)),
			policyVersion: input.policyVersion,
		},
	};
}

/** Computes the length of the call chain that ends with a call of this origin. */
function computeDepth(origin: CallOrigin): number {
	return origin.kind === 'server' ? origin.parent.context.depth + 1 : 1;
}

/**
 * Finds the caller name under which an origin's calls are counted and claimed.
 *
 * @example
 * findCallerName({kind: 'caller', policy: undefined}); // 'anonymous'
 */
export function findCallerName(origin: CallOrigin): string {
	switch (origin.kind) {
		case 'caller': {
			return origin.policy?.name ?? 'anonymous';
		}

		case 'server': {
			return origin.parent.context.caller;
		}

		case 'serverOwn': {
			return `service:${origin.service}`;
		}
	}
}

/** Computes the importance. It is bounded where the call chain begins; child calls inherit their parent's. */
function computeImportance(input: ClassifyInput, rule: CallRule): Importance {
	const ruleImportance = importance[rule.importance];
	switch (input.origin.kind) {
		case 'caller': {
			const ceiling: ImportanceName =
				input.origin.policy?.maxImportance ?? input.matcher.policy.anonymous.maxImportance;
			return Math.min(ruleImportance, importance[ceiling]) as Importance;
		}

		case 'server': {
			return input.origin.parent.context.importance;
		}

		case 'serverOwn': {
			return Math.min(ruleImportance, importance.low) as Importance;
		}
	}
}

/** Whether HTTP defines the method as safe, so that the request may be repeated. */
function isSafeMethod(method: string): boolean {
	return method === 'GET' || method === 'HEAD' || method === 'OPTIONS';
}
