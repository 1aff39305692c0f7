/**
 * Converts errors of the policy layer into operator errors, which add a next step.
 */
import {formatProblem, type ConflictFields, type PolicyError} from '../policy/errors.ts';
import {OperatorError} from './errors.ts';

function formatPaths(label: string, paths: readonly string[]): string {
	return `${label}: ${paths.length === 0 ? 'none' : paths.join(', ')}`;
}

/** Whether the version in force already contains every change of the operator, with the same values. */
function isAlreadyInForce({mine, inForce, overlapping}: ConflictFields): boolean {
	return overlapping.length === 0 && mine.every(path => inForce.includes(path));
}

/**
 * Converts a policy error. A conflict becomes the kind `conflict`, which has its own exit code; all others become `failed`.
 *
 * @example
 * return store.readHead().mapErr(error => convertPolicyError(error));
 */
export function convertPolicyError(error: PolicyError): OperatorError {
	const {fault} = error;
	switch (fault.kind) {
		case 'conflict': {
			const {mine, inForce, overlapping} = fault.fields;
			const message = [
				`version ${fault.versionInForce} is in force; the change is based on version ${fault.baseVersion} and was not applied`,
				formatPaths('  changed by you', mine),
				formatPaths('  changed meanwhile', inForce),
				formatPaths('  changed on both sides', overlapping),
			].join('\n');
			const nextStep = isAlreadyInForce(fault.fields)
				? `Nothing is left to do: version ${fault.versionInForce} has your changes already.`
				: `Merge the other changes into your document ("config show" prints the version in force) and apply it with --base ${fault.versionInForce}.`;
			return OperatorError.create('conflict', message, nextStep);
		}

		case 'invalid': {
			const lines = fault.problems.map(problem => `  ${formatProblem(problem)}`);
			const message = `the policy document is not valid\n${lines.join('\n')}`;
			return OperatorError.create('failed', message, 'Correct these fields; see docs/POLICY.md.');
		}

		case 'missing': {
			const nextStep = 'List the versions with "config history".';
			return OperatorError.create('failed', error.message, nextStep);
		}

		case 'corrupt': {
			const nextStep = 'Don\'t apply anything; see "A version is corrupt" in docs/OPERATIONS.md.';
			return OperatorError.create('failed', error.message, nextStep);
		}

		case 'unavailable': {
			const nextStep = 'Nothing was changed. Try again once the table answers.';
			return OperatorError.create('failed', error.message, nextStep);
		}

		case 'outcomeUnknown': {
			const nextStep = `Send the same command again with --change-id ${fault.changeId}; the same change is never applied twice.`;
			return OperatorError.create('failed', error.message, nextStep);
		}
	}
}
