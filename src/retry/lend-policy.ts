/**
 * Policies for how much of a retry allowance a call lends to a child call.
 *
 * For measurements of each policy see docs/decisions/retries.md.
 */

export type LendPolicy =
	/** Lends everything; the parent can't retry while the child runs. */
	| {readonly kind: 'all'}
	/** Lends the larger half. */
	| {readonly kind: 'half'}
	/** Lends all but the `kept` retries, which the parent keeps for its own hop. */
	| {readonly kind: 'reserve'; readonly kept: number}
	/** Lends a fraction, rounded down. */
	| {readonly kind: 'share'; readonly share: number};

export const defaultLendPolicy: LendPolicy = {kind: 'share', share: 0.5};

/**
 * Computes the size of the loan for one child call.
 *
 * @param left - retries that the parent has left
 * @example
 * computeLoan({kind: 'half'}, 3); // 2
 */
export function computeLoan(policy: LendPolicy, left: number): number {
	switch (policy.kind) {
		case 'all': {
			return left;
		}

		case 'half': {
			return Math.ceil(left / 2);
		}

		case 'reserve': {
			return Math.max(0, left - policy.kept);
		}

		case 'share': {
			return Math.floor(left * policy.share);
		}
	}
}
