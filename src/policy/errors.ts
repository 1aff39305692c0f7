/**
 * Errors of the policy layer.
 */

/** Field paths that tell a conflicting apply from the version now in force. */
export type ConflictFields = {
	/** Changed by the operator since the version that he started from. */
	readonly mine: readonly string[];
	/** Changed in the version now in force since the version that the operator started from. */
	readonly inForce: readonly string[];
	/** Changed on both sides to different values; these need a decision. */
	readonly overlapping: readonly string[];
};

/** One line of a failed validation: where, what stands there, and the rule that it breaks. */
export type PolicyProblem = {
	readonly path: string;
	readonly value: string;
	readonly rule: string;
};

/** What went wrong; only `outcomeUnknown` leaves open whether something was written. */
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

/** An operation on the policy document that did not succeed. */
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
 * Formats one problem of a document as a line.
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
			return `policy version ${fault.versionInForce} is in force, the change started from ${fault.baseVersion}; fields changed meanwhile: ${fields}`;
		}

		case 'invalid': {
			const lines = fault.problems.map(problem => formatProblem(problem));
			return `policy document is not valid\n${lines.join('\n')}`;
		}

		case 'missing': {
			return `policy version ${fault.version} does not exist`;
		}

		case 'corrupt': {
			return `policy version ${fault.version} is corrupt: ${fault.detail}`;
		}

		case 'unavailable': {
			return `policy table is unavailable, nothing was written: ${fault.detail}`;
		}

		case 'outcomeUnknown': {
			return `outcome of policy change "${fault.changeId}" is unknown: ${fault.detail}`;
		}
	}
}
