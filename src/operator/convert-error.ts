/**
 * Turns errors of the policy layer into errors that tell an operator what to do.
 */
import {formatProblem, type ConflictFields, type PolicyError} from '../policy/errors.ts';
import {OperatorError} from './errors.ts';

function formatPaths(label: string, paths: readonly string[]): string {
	return `${label}: ${paths.length === 0 ? 'none' : paths.join(', ')}`;
}

/** Tells whether the version in force made the same changes to the same values. */
function isAlreadyInForce({mine, inForce, overlapping}: ConflictFields): boolean {
	return overlapping.length === 0 && mine.every(path => inForce.includes(path));
}

/**
 * Converts a policy error.
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
				`version ${fault.versionInForce} came first; the change started from ${fault.baseVersion}, nothing was applied`,
				formatPaths('  changed by you', mine),
				formatPaths('  changed meanwhile', inForce),
				formatPaths('  changed on both sides', overlapping),
			].join('\n');
			const nextStep = isAlreadyInForce(fault.fields)
				? `Nothing is left to do: version ${fault.versionInForce} has your changes already.`
				: `Take their changes over ("config show" prints them) and apply again with --base ${fault.versionInForce}.`;
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
