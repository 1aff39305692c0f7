/**
 * Errors of the policy layer.
 */

/** Field paths that differ between a conflicting change and the version in force. */
export type ConflictFields = {
	/** Changed by the operator since the base version. */
	readonly mine: readonly string[];
	/** Changed in the version in force since the base version. */
	readonly inForce: readonly string[];
	/** Changed on both sides to different values; the operator must choose. */
	readonly overlapping: readonly string[];
};

/** One validation problem: the field's path, its value and the rule that it breaks. */
export type PolicyProblem = {
	readonly path: string;
	readonly value: string;
	readonly rule: string;
};

/** Why an operation failed; for every kind but `outcomeUnknown`, nothing was written. */
export type PolicyFault =
	| {
			readonly kind: 'conflict';
			readonly baseVersion: number;
			readonly versionInForce: number;
			readonly fields: ConflictFields;
	  }
	| {readonly kind: 'invalid'; readonly problems: readonly PolicyProblem[]}
	| {readonly kind: 'missing'; readonly version: number}
	| {readonly kind: 'corrupt'; readonly version: number; readonly detail: string}
	| {readonly kind: 'unavailable'; readonly detail: string}
	| {readonly kind: 'outcomeUnknown'; readonly changeId: string; readonly detail: string};

/** A failed operation on the policy document. */
export class PolicyError extends Error {
	/**
	 * @example
	 * PolicyError.create({kind: 'missing', version: 7});
	 */
	static create(fault: PolicyFault): PolicyError {
		return new PolicyError(fault, formatFault(fault));
	}

	override readonly name = 'PolicyError';

	private constructor(
		readonly fault: PolicyFault,
		message: string,
	) {
		super(message);
	}

	get kind(): PolicyFault['kind'] {
		return this.fault.kind;
	}
}

/**
 * Formats one validation problem as a line.
 *
 * @example
 * formatProblem({path: 'services[0].name', value: '"A"', rule: 'use lower-case letters'});
 */
export function formatProblem(problem: PolicyProblem): string {
	return `${problem.path}: ${problem.value}: ${problem.rule}`;
}

function formatFault(fault: PolicyFault): string {
	switch (fault.kind) {
		case 'conflict': {
			const fields = fault.fields.inForce.join(', ') || 'none';
			return `policy version ${fault.versionInForce} is in force, but the change is based on version ${fault.baseVersion}; fields changed since: ${fields}`;
		}

		case 'invalid': {
			const lines = fault.problems.map(problem => formatProblem(problem));
			return `policy document is invalid\n${lines.join('\n')}`;
		}

		case 'missing': {
			return `policy version ${fault.version} does not exist`;
		}

		case 'corrupt': {
			return `policy version ${fault.version} is corrupt: ${fault.detail}`;
		}

		case 'unavailable': {
			return `policy table is unavailable; nothing was written: ${fault.detail}`;
		}

		case 'outcomeUnknown': {
			return `outcome of policy change "${fault.changeId}" is unknown: ${fault.detail}`;
		}
	}
}
