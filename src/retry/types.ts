/**
 * Types of the retry allowance, an integer loan that travels with a call.
 */

/** Retries that one call and all calls below it may still spend. */
export type RetryAllowance = {
	/** What is left to spend or lend. */
	readonly available: number;
	/** Takes one retry or hedge; false when none is left. */
	spend(): boolean;
	/** Lends part of what is left to a child call. */
	lend(loanId: string): number;
	/** Takes back what a child's answer says it did not spend. */
	returnLoan(loanId: string, unspent: number): void;
	/** Counts a loan whose answer was lost as spent. */
	forfeitLoan(loanId: string): void;
	/** Ends the allowance; later children get nothing. Returns what was left. */
	close(): number;
};
