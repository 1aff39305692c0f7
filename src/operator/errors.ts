/**
 * Errors and exit codes of the operators' tools.
 */

/** Exit codes by result; `conflict` means that another change was applied first. */
export const exitCodes = {ok: 0, failed: 1, usage: 2, conflict: 3} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

export type OperatorErrorKind = Exclude<keyof typeof exitCodes, 'ok'>;

/** A failed operation, with a next step for the operator. */
export class OperatorError extends Error {
	/**
	 * @param nextStep - what the operator can do about it, as full sentences
	 * @example
	 * OperatorError.create('failed', 'no daemon answered', 'Check the addresses under [admin] urls.');
	 */
	static create(kind: OperatorErrorKind, message: string, nextStep: string): OperatorError {
		return new OperatorError(kind, message, nextStep);
	}

	override readonly name = 'OperatorError';

	private constructor(
		readonly kind: OperatorErrorKind,
		message: string,
		readonly nextStep: string,
	) {
		super(message);
	}

	get exitCode(): ExitCode {
		return exitCodes[this.kind];
	}
}
