/**
 * How much of a retry allowance a child call is lent.
 *
 * See docs/decisions/retries.md for the figures of each policy.
 */

export type LendPolicy =
	/** Lends everything; the parent has no retry of its own while the child runs. */
	| {readonly kind: 'all'}
	/** Lends the larger half. */
	| {readonly kind: 'half'}
	/** Lends all but a number of retries that the parent keeps for this hop. */
	| {readonly kind: 'reserve'; readonly kept: number}
	/** Lends a share, rounded down. */
	| {readonly kind: 'share'; readonly share: number};

export const defaultLendPolicy: LendPolicy = {kind: 'share', share: 0.5};

/**
 * Computes the loan for one child call.
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
