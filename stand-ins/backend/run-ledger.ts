/**
 * Records how often a stand-in server ran each idempotency key, for checks that a call ran at most once.
 */

export type LedgerEntry = {
	readonly key: string;
	readonly runs: number;
	/** Names of the attempts that ran, in order; empty text where the caller sent none. */
	readonly attempts: readonly string[];
};

/** Runs of a stand-in server, by idempotency key. */
export class RunLedger {
	/**
	 * @example
	 * const ledger = RunLedger.create();
	 */
	static create(): RunLedger {
		return new RunLedger();
	}

	readonly #runs = new Map<string, string[]>();

	private constructor() {
		// Made by create.
	}

	add(key: string, attempt = ''): void {
		const attempts = this.#runs.get(key) ?? [];
		attempts.push(attempt);
		this.#runs.set(key, attempts);
	}

	list(): LedgerEntry[] {
		const entries: LedgerEntry[] = [];
		for (const [key, attempts] of this.#runs) {
			entries.push({key, runs: attempts.length, attempts});
		}

		return entries;
	}
}
