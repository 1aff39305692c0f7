/**
 * Retry allowance of one call: the number of retries that its parent call lent it.
 *
 * Each retry or hedge costs 1. A call lends part of what is left to its child calls, and each answer
 * reports the unspent part of the loan. A loan whose answer is lost counts as spent, so the retries of
 * a whole call tree never exceed the allowance granted at its origin.
 */
import {AllowanceInvariantError} from './errors.ts';
import {computeLoan, defaultLendPolicy, type LendPolicy} from './lend-policy.ts';
import {type RetryAllowance} from './types.ts';

/** The retry allowance of one call. Asserts `granted = spent + lent + left` after every change. */
export class CallAllowance implements RetryAllowance {
	/**
	 * @param granted - number of retries that this call and its descendants may spend
	 * @example
	 * const allowance = CallAllowance.create(3);
	 */
	static create(granted: number, policy: LendPolicy = defaultLendPolicy): CallAllowance {
		if (!Number.isSafeInteger(granted) || granted < 0) {
			throw AllowanceInvariantError.create(`granted ${granted} is not a non-negative integer`);
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

	/** Retries spent by this call and its descendants, including lost loans. */
	get spent(): number {
		return this.#spent;
	}

	/** Retries currently lent to child calls. */
	get lent(): number {
		return this.#lent;
	}

	/**
	 * Spends one retry or hedge.
	 *
	 * @returns false if none is left
	 * @example
	 * if (allowance.trySpend()) { sendAgain(); }
	 */
	trySpend(): boolean {
		if (this.available < 1) {
			return false;
		}

		this.#left -= 1;
		this.#spent += 1;
		this.#assertInvariant();
		return true;
	}

	/**
	 * Lends part of what is left to one attempt of a child call.
	 *
	 * @param loanId - identifies the loan until it is returned or forfeited, such as the attempt id
	 * @example
	 * const retryAllowance = allowance.lend(attemptId);
	 */
	lend(loanId: string): number {
		if (this.#loans.has(loanId)) {
			throw AllowanceInvariantError.create(`loan "${loanId}" already exists`);
		}

		if (this.#isClosed) {
			return 0;
		}

		const loan = computeLoan(this.policy, this.#left);
		this.#loans.set(loanId, loan);
		this.#left -= loan;
		this.#lent += loan;
		this.#assertInvariant();
		return loan;
	}

	/**
	 * Returns the unspent part of a loan, as the child's answer reports it.
	 *
	 * A reported number above the loan counts as the loan, and an invalid one as 0.
	 *
	 * @example
	 * allowance.returnLoan(attemptId, 1);
	 */
	returnLoan(loanId: string, unspent: number): void {
		const loan = this.#removeLoan(loanId);
		const returned = Number.isSafeInteger(unspent) ? Math.min(loan, Math.max(0, unspent)) : 0;
		this.#left += returned;
		this.#spent += loan - returned;
		this.#assertInvariant();
	}

	/**
	 * Counts a loan as spent because the child's answer was lost.
	 *
	 * @example
	 * allowance.forfeitLoan(attemptId);
	 */
	forfeitLoan(loanId: string): void {
		this.#spent += this.#removeLoan(loanId);
		this.#assertInvariant();
	}

	/**
	 * Closes the allowance. Open loans count as spent, and later returns have no effect.
	 *
	 * @returns the retries left, to be reported in the answer to the parent call
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
		this.#assertInvariant();
		return this.#left;
	}

	/** Removes a loan and returns its size; 0 after `close`. */
	#removeLoan(loanId: string): number {
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

	#assertInvariant(): void {
		const total = this.#spent + this.#lent + this.#left;
		if (total !== this.granted || this.#left < 0 || this.#lent < 0) {
			throw AllowanceInvariantError.create(
				`granted ${this.granted}, spent ${this.#spent}, lent ${this.#lent}, left ${this.#left}`,
			);
		}
	}
}
