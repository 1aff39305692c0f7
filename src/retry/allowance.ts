/**
 * Retry allowance of one call: an integer loan from the call above it.
 *
 * Each retry or hedge costs 1. Child calls are lent part of what is left and say in their answer
 * what they did not spend. A loan whose answer is lost counts as spent, so the retries of a whole
 * chain never exceed what its origin was granted.
 */
import {AllowanceInvariantError} from './errors.ts';
import {computeLoan, defaultLendPolicy, type LendPolicy} from './lend-policy.ts';
import {type RetryAllowance} from './types.ts';

/** The allowance of one call. Asserts `granted = spent + lent + available` after every change. */
export class CallAllowance implements RetryAllowance {
	/**
	 * @param granted - retries that this call and all below it may spend
	 * @example
	 * const allowance = CallAllowance.create(3);
	 */
	static create(granted: number, policy: LendPolicy = defaultLendPolicy): CallAllowance {
		if (!Number.isSafeInteger(granted) || granted < 0) {
			throw AllowanceInvariantError.create(`${granted} is not a count of retries`);
		}

		return new CallAllowance(granted, policy);
	}

	readonly #loans = new Map<string, number>();
	#left: number;
	#spent = 0;
	#lent = 0;
	#isClosed = false;

	private constructor(
		readonly granted: number,
		private readonly policy: LendPolicy,
	) {
		this.#left = granted;
	}

	get available(): number {
		return this.#isClosed ? 0 : this.#left;
	}

	/** Retries that were spent here or below, lost loans included. */
	get spent(): number {
		return this.#spent;
	}

	/** Retries that running child calls hold. */
	get lent(): number {
		return this.#lent;
	}

	/**
	 * Takes one retry or hedge.
	 *
	 * @returns false when none is left
	 * @example
	 * if (allowance.spend()) { sendAgain(); }
	 */
	spend(): boolean {
		if (this.available < 1) {
			return false;
		}

		this.#left -= 1;
		this.#spent += 1;
		this.#assertConserved();
		return true;
	}

	/**
	 * Lends part of what is left to one attempt of a child call.
	 *
	 * @param loanId - names the loan until it is returned or forfeited; the attempt id serves
	 * @example
	 * const retryAllowance = allowance.lend(attemptId);
	 */
	lend(loanId: string): number {
		if (this.#loans.has(loanId)) {
			throw AllowanceInvariantError.create(`loan "${loanId}" exists already`);
		}

		if (this.#isClosed) {
			return 0;
		}

		const loan = computeLoan(this.policy, this.#left);
		this.#loans.set(loanId, loan);
		this.#left -= loan;
		this.#lent += loan;
		this.#assertConserved();
		return loan;
	}

	/**
	 * Takes back what a child's answer says it did not spend.
	 *
	 * A remote claim of more than the loan counts as the loan, and an unreadable one as nothing.
	 *
	 * @example
	 * allowance.returnLoan(attemptId, 1);
	 */
	returnLoan(loanId: string, unspent: number): void {
		const loan = this.#takeLoan(loanId);
		const back = Number.isSafeInteger(unspent) ? Math.min(loan, Math.max(0, unspent)) : 0;
		this.#left += back;
		this.#spent += loan - back;
		this.#assertConserved();
	}

	/**
	 * Counts a loan whose answer was lost as spent.
	 *
	 * @example
	 * allowance.forfeitLoan(attemptId);
	 */
	forfeitLoan(loanId: string): void {
		this.#spent += this.#takeLoan(loanId);
		this.#assertConserved();
	}

	/**
	 * Ends the allowance. Loans still out count as spent, and later returns have no effect.
	 *
	 * @returns what was left, for the answer to the call above
	 * @example
	 * headers['primrosevalve-allowance-left'] = String(allowance.close());
	 */
	close(): number {
		if (this.#isClosed) {
			return 0;
		}

		this.#isClosed = true;
		this.#spent += this.#lent;
		this.#lent = 0;
		this.#loans.clear();
		this.#assertConserved();
		return this.#left;
	}

	/** Ends a loan; after the close every loan is worth nothing. */
	#takeLoan(loanId: string): number {
		if (this.#isClosed) {
			return 0;
		}

		const loan = this.#loans.get(loanId);
		if (loan === undefined) {
			throw AllowanceInvariantError.create(`loan "${loanId}" does not exist`);
		}

		this.#loans.delete(loanId);
		this.#lent -= loan;
		return loan;
	}

	#assertConserved(): void {
		const total = this.#spent + this.#lent + this.#left;
		if (total !== this.granted || this.#left < 0 || this.#lent < 0) {
			throw AllowanceInvariantError.create(
				`granted ${this.granted}, spent ${this.#spent}, lent ${this.#lent}, left ${this.#left}`,
			);
		}
	}
}
