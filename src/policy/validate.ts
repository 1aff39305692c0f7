/**
 * Validation of policy documents written by operators. Daemons do not load this module.
 */
import {err, ok, type Result} from 'neverthrow';
import {type ZodError} from 'zod';
import {listRuleProblems} from './cross-field-rules.ts';
import {PolicyError, type PolicyProblem} from './errors.ts';
import {policySchema, type Policy} from './schema.ts';

/** Longer values are cut in problem lines. */
const maxShownCharacters = 80;

/**
 * Parses and validates the JSON text of a policy document and fills in the defaults.
 *
 * @example
 * const policy = parsePolicy(await readFile('policy.json', 'utf8'));
 */
export function parsePolicy(text: string): Result<Policy, PolicyError> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		const rule = `the document must be JSON: ${(error as Error).message}`;
		const problems = [{path: '(document)', value: formatValue(text), rule}];
		return err(PolicyError.create({kind: 'invalid', problems}));
	}

	return validatePolicy(value);
}

/**
 * Validates a policy document and fills in the defaults.
 *
 * @example
 * const policy = validatePolicy({services: [{name: 'catalogue'}]});
 */
export function validatePolicy(value: unknown): Result<Policy, PolicyError> {
	const parsed = policySchema.safeParse(value);
	if (!parsed.success) {
		const problems = convertIssues(parsed.error, value);
		return err(PolicyError.create({kind: 'invalid', problems}));
	}

	const problems = listRuleProblems(parsed.data);
	if (problems.length > 0) {
		return err(PolicyError.create({kind: 'invalid', problems}));
	}

	return ok(parsed.data);
}

function convertIssues(error: ZodError, document: unknown): PolicyProblem[] {
	const problems: PolicyProblem[] = [];
	for (const issue of error.issues) {
		problems.push({
			path: formatPath(issue.path),
			value: formatValue(findValue(document, issue.path)),
			rule: issue.message,
		});
	}

	return problems;
}

function formatPath(path: readonly PropertyKey[]): string {
	let text = '';
	for (const part of path) {
		if (typeof part === 'number') {
			text += `[${part}]`;
			continue;
		}

		text += text === '' ? String(part) : `.${String(part)}`;
	}

	return text === '' ? '(document)' : text;
}

function findValue(document: unknown, path: readonly PropertyKey[]): unknown {
	let value = document;
	for (const part of path) {
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		value = (value as Record<PropertyKey, unknown>)[part];
	}

	return value;
}

function formatValue(value: unknown): string {
	const text = value === undefined ? 'missing' : JSON.stringify(value);
	return text.length > maxShownCharacters ? `${text.slice(0, maxShownCharacters)}…` : text;
}
