/**
 * Counts how often each idempotency key was run.
 */

export type LedgerEntry = {readonly key: string; readonly runs: number};

/** The runs of a stand-in server by key. */
export class RunLedger {
	/**
	 * @example
	 * const ledger = RunLedger.create();
	 */
	static create(): RunLedger {
		return new RunLedger();
	}

	readonly #runs = new Map<string, number>();

	private constructor() {
		// Made by create.
	}

	add(key: string): void {
		this.#runs.set(key, (this.#runs.get(key) ?? 0) + 1);
	}

	list(): LedgerEntry[] {
		const entries: LedgerEntry[] = [];
		for (const [key, runs] of this.#runs) {
			entries.push({key, runs});
		}

		return entries;
	}
}
