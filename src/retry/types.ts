/**
 * Types of the retry allowance: the number of retries that a call carries.
 */

/** Retries that one call and its descendants may still spend. */
export type RetryAllowance = {
	/** Retries left to spend or lend. */
	readonly available: number;
	/** Spends one retry or hedge; returns false if none is left. */
	trySpend(): boolean;
	/** Lends part of what is left to a child call; returns the size of the loan. */
	lend(loanId: string): number;
	/** Returns the unspent part of a loan, as the child's answer reports it. */
	returnLoan(loanId: string, unspent: number): void;
	/** Counts a loan as spent because the child's answer was lost. */
	forfeitLoan(loanId: string): void;
	/** Closes the allowance, so that later child calls are lent 0; returns the retries left. */
	close(): number;
};
