/**
 * Validation rules across fields of a policy document, which the schema can't express.
 */
import {type PolicyProblem} from './errors.ts';
import {type CallRule, type Policy, type ServicePolicy} from './schema.ts';

/**
 * Lists the problems of a document that is valid by the schema.
 *
 * @example
 * const problems = listRuleProblems(policy);
 */
export function listRuleProblems(policy: Policy): PolicyProblem[] {
	return [
		...listDuplicateNames(policy.services, 'services', 'service names must be unique'),
		...listDuplicateNames(policy.callers, 'callers', 'caller names must be unique'),
		...listDuplicateTokens(policy),
		...listCallProblems(policy),
		...listCycles(policy),
		...listUnknownReferences(policy),
	];
}

function createProblem(path: string, value: unknown, rule: string): PolicyProblem {
	return {path, value: JSON.stringify(value), rule};
}

function listDuplicateNames(
	items: ReadonlyArray<{readonly name: string}>,
	path: string,
	rule: string,
): PolicyProblem[] {
	const problems: PolicyProblem[] = [];
	const seen = new Set<string>();
	for (const [index, {name}] of items.entries()) {
		if (seen.has(name)) {
			problems.push(createProblem(`${path}[${index}].name`, name, rule));
		}

		seen.add(name);
	}

	return problems;
}

function listDuplicateTokens(policy: Policy): PolicyProblem[] {
	const problems: PolicyProblem[] = [];
	const seen = new Set<string>();
	for (const [index, {tokenSha256}] of policy.callers.entries()) {
		if (seen.has(tokenSha256)) {
			const path = `callers[${index}].tokenSha256`;
			problems.push(createProblem(path, tokenSha256, 'two callers must have different tokens'));
		}

		seen.add(tokenSha256);
	}

	return problems;
}

function listCallProblems(policy: Policy): PolicyProblem[] {
	const problems: PolicyProblem[] = [];
	for (const [index, service] of policy.services.entries()) {
		const path = `services[${index}].calls`;
		problems.push(
			...listDuplicateNames(service.calls, path, 'call names must be unique in their service'),
			...listShadowedCalls(service, path),
		);
		for (const [callIndex, call] of service.calls.entries()) {
			problems.push(...listContradictions(call, `${path}[${callIndex}]`));
		}
	}

	return problems;
}

function listShadowedCalls(service: ServicePolicy, path: string): PolicyProblem[] {
	const problems: PolicyProblem[] = [];
	const seen = new Set<string>();
	for (const [index, {method, path: template}] of service.calls.entries()) {
		const pattern = `${method} ${template}`;
		if (seen.has(pattern)) {
			const rule = 'an earlier rule has the same method and path';
			problems.push(createProblem(`${path}[${index}].path`, pattern, rule));
		}

		seen.add(pattern);
	}

	return problems;
}

function listContradictions(call: CallRule, path: string): PolicyProblem[] {
	const problems: PolicyProblem[] = [];
	if (call.once && call.idempotent) {
		problems.push(createProblem(`${path}.idempotent`, true, 'a once call must not be idempotent'));
	}

	if (call.hedge && !call.idempotent) {
		problems.push(createProblem(`${path}.hedge`, true, 'only an idempotent call may be hedged'));
	}

	return problems;
}

function listUnknownReferences(policy: Policy): PolicyProblem[] {
	const services = new Set(policy.services.map(({name}) => name));
	const callers = new Set(['*', 'anonymous', ...policy.callers.map(({name}) => name)]);
	const problems: PolicyProblem[] = [];
	const addUnknownService = (name: string, path: string): void => {
		if (!services.has(name)) {
			problems.push(createProblem(path, name, 'no service has this name'));
		}
	};

	for (const [index, service] of policy.services.entries()) {
		for (const [callIndex, call] of service.calls.entries()) {
			for (const [needIndex, name] of call.needs.entries()) {
				addUnknownService(name, `services[${index}].calls[${callIndex}].needs[${needIndex}]`);
			}
		}
	}

	for (const [index, caller] of policy.callers.entries()) {
		for (const [serviceIndex, name] of caller.services.entries()) {
			addUnknownService(name, `callers[${index}].services[${serviceIndex}]`);
		}
	}

	for (const [index, objective] of policy.objectives.entries()) {
		addUnknownService(objective.service, `objectives[${index}].service`);
		if (!callers.has(objective.caller)) {
			const path = `objectives[${index}].caller`;
			problems.push(createProblem(path, objective.caller, 'no caller has this name'));
		}
	}

	return problems;
}

/** Lists the first cycle of services that need each other, directly or through others. */
function listCycles(policy: Policy): PolicyProblem[] {
	const needs = new Map<string, Set<string>>();
	for (const service of policy.services) {
		needs.set(service.name, new Set(service.calls.flatMap(call => call.needs)));
	}

	const problems: PolicyProblem[] = [];
	for (const [index, service] of policy.services.entries()) {
		const cycle = findCycle(service.name, needs);
		if (cycle) {
			problems.push(
				createProblem(
					`services[${index}].calls`,
					cycle.join(' > '),
					'services must not need each other in a cycle',
				),
			);
			// The problem names all services of the cycle; further cycles are reported once this one is fixed.
			break;
		}
	}

	return problems;
}

/** Finds a shortest cycle through `start` by breadth-first search. */
function findCycle(
	start: string,
	needs: ReadonlyMap<string, ReadonlySet<string>>,
): string[] | undefined {
	const seen = new Set<string>();
	const queue: Array<readonly string[]> = [[start]];
	for (const path of queue) {
		const last = path.at(-1) ?? start;
		for (const next of needs.get(last) ?? []) {
			if (next === start) {
				return [...path, start];
			}

			if (!seen.has(next)) {
				seen.add(next);
				queue.push([...path, next]);
			}
		}
	}

	return undefined;
}
