/**
 * Turns a request into a call: service, rule, importance, deadline and retry allowance.
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

/** A call before its first attempt. */
export type ClassifiedCall = {
	/** Context of the call; each attempt gets its own attempt id, deadline and loan. */
	readonly context: CallContext;
	readonly rule: CallRule;
	/** Path that the backend server sees. */
	readonly path: string;
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

	const forbidden = findForbidden(matcher, origin, target.service);
	if (forbidden !== undefined) {
		return err(forbidden);
	}

	const {maxDepth} = matcher.policy.retries;
	if (computeDepth(origin) > maxDepth) {
		const detail = `the chain of calls to service "${target.service}" is longer than ${maxDepth}`;
		return err(createRefusal(508, detail, 'too-deep'));
	}

	const rule = matcher.findCallRule(target.service, request.method ?? 'GET', target.path);
	return ok(createCall(input, target, rule, request.method ?? 'GET'));
}

/** Splits `/SERVICE/PATH`. */
function parseTarget(url: string): Target | undefined {
	const match = /^\/([a-z\d][a-z\d\-]{0,62})(\/.*)?$/v.exec(url);
	if (match?.[1] === undefined) {
		return undefined;
	}

	return {service: match[1], path: match[2] ?? '/'};
}

/**
 * Finds the rule of the policy that forbids the origin to call the service.
 *
 * @example
 * const refusal = findForbidden(matcher, origin, 'commandes');
 */
export function findForbidden(
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
	const ownDeadlineAtMs = nowMs + rule.deadlineMs;
	const deadlineAtMs =
		parent === undefined || retries.kind === 'perHop'
			? ownDeadlineAtMs
			: Math.min(ownDeadlineAtMs, parent.deadlineAtMs);
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

/** Computes the length of the chain of calls that ends with one of this origin. */
function computeDepth(origin: CallOrigin): number {
	return origin.kind === 'server' ? origin.parent.context.depth + 1 : 1;
}

/**
 * Finds the name under which an origin's calls are counted and claimed.
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

/** Importance is set at the origin and only kept or lowered further down. */
function computeImportance(input: ClassifyInput, rule: CallRule): Importance {
	const wanted = importance[rule.importance];
	switch (input.origin.kind) {
		case 'caller': {
			const ceiling: ImportanceName =
				input.origin.policy?.maxImportance ?? input.matcher.policy.anonymous.maxImportance;
			return Math.min(wanted, importance[ceiling]) as Importance;
		}

		case 'server': {
			return input.origin.parent.context.importance;
		}

		case 'serverOwn': {
			return Math.min(wanted, importance.low) as Importance;
		}
	}
}

/** Methods that HTTP defines as safe to repeat. */
function isSafeMethod(method: string): boolean {
	return method === 'GET' || method === 'HEAD' || method === 'OPTIONS';
}
