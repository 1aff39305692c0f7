/**
 * Checks the outcomes reported to callers of once calls against the runs that backend servers recorded.
 */
import {type LedgerEntry} from '../../stand-ins/backend/run-ledger.ts';

export type AttemptOutcome =
	| {readonly kind: 'answered'; readonly body: string}
	| {readonly kind: 'notRun'; readonly reason: string}
	| {readonly kind: 'unknown'; readonly reason: string}
	/** The caller received no complete answer. */
	| {readonly kind: 'lost'};

type Attempt = {readonly id: string; readonly key: string; outcome: AttemptOutcome | undefined};

export type Violation = {
	readonly kind: 'duplicateRun' | 'falseNotRun' | 'answerWithoutRun' | 'otherAnswer' | 'stuckKey';
	readonly key: string;
	readonly detail: string;
};

/** Number of keys and attempts of one run, and of attempt outcomes by kind. */
export type OracleCounts = {
	readonly keys: number;
	readonly attempts: number;
	readonly answered: number;
	readonly notRun: number;
	readonly unknown: number;
	readonly lost: number;
};

/** Records every attempt of a run and its outcome. */
export class OnceOracle {
	/**
	 * @example
	 * const oracle = OnceOracle.create();
	 */
	static create(): OnceOracle {
		return new OnceOracle();
	}

	readonly #attempts: Attempt[] = [];
	readonly #attemptsByKey = new Map<string, Attempt[]>();

	private constructor() {
		// Made by create.
	}

	/** Records an attempt before it is sent; `recordOutcome` records its outcome. */
	addAttempt(key: string): {
		readonly id: string;
		readonly recordOutcome: (outcome: AttemptOutcome) => void;
	} {
		const attempt: Attempt = {id: `a${this.#attempts.length}`, key, outcome: undefined};
		this.#attempts.push(attempt);
		const attempts = this.#attemptsByKey.get(key) ?? [];
		attempts.push(attempt);
		this.#attemptsByKey.set(key, attempts);
		return {
			id: attempt.id,
			recordOutcome(outcome) {
				attempt.outcome = outcome;
			},
		};
	}

	/** Lists the keys in the order of their first attempt. */
	listKeys(): readonly string[] {
		return [...this.#attemptsByKey.keys()];
	}

	/** Compares the outcomes of all attempts with the ledgers of the backend servers. */
	listViolations(ledger: readonly LedgerEntry[]): Violation[] {
		const runs = new Map<string, string[]>();
		for (const entry of ledger) {
			runs.set(entry.key, [...(runs.get(entry.key) ?? []), ...entry.attempts]);
		}

		const violations: Violation[] = [];
		for (const [key, attempts] of this.#attemptsByKey) {
			violations.push(...this.#compareRuns(key, attempts, runs.get(key) ?? []));
		}

		return violations;
	}

	readCounts(): OracleCounts {
		const counts = {answered: 0, notRun: 0, unknown: 0, lost: 0};
		for (const {outcome} of this.#attempts) {
			counts[outcome?.kind ?? 'lost']++;
		}

		return {keys: this.#attemptsByKey.size, attempts: this.#attempts.length, ...counts};
	}

	#compareRuns(key: string, attempts: readonly Attempt[], runs: readonly string[]): Violation[] {
		const violations: Violation[] = [];
		if (runs.length > 1) {
			violations.push({kind: 'duplicateRun', key, detail: `ran as ${runs.join(', ')}`});
		}

		const bodies = new Set<string>();
		let isEveryAttemptNotRun = true;
		for (const {id, outcome} of attempts) {
			isEveryAttemptNotRun &&= outcome?.kind === 'notRun';
			if (outcome?.kind === 'notRun' && runs.includes(id)) {
				violations.push({kind: 'falseNotRun', key, detail: `${id} was told ${outcome.reason}`});
			}

			if (outcome?.kind === 'answered') {
				bodies.add(outcome.body);
			}
		}

		if (isEveryAttemptNotRun && runs.length > 0) {
			violations.push({kind: 'falseNotRun', key, detail: 'every attempt was told notRun'});
		}

		if (bodies.size > 0 && runs.length === 0) {
			violations.push({kind: 'answerWithoutRun', key, detail: 'answered and never run'});
		}

		if (bodies.size > 1) {
			violations.push({kind: 'otherAnswer', key, detail: [...bodies].join(' | ')});
		}

		return violations;
	}
}
