/**
 * Judges what callers of once calls were told against what the backend servers ran.
 */
import {type LedgerEntry} from '../../stand-ins/backend/run-ledger.ts';

export type AttemptOutcome =
	| {readonly kind: 'answered'; readonly body: string}
	| {readonly kind: 'notRun'; readonly reason: string}
	| {readonly kind: 'unknown'; readonly reason: string}
	/** The caller got no whole answer. */
	| {readonly kind: 'lost'};

type Attempt = {readonly id: string; readonly key: string; outcome: AttemptOutcome | undefined};

export type Violation = {
	readonly kind: 'duplicateRun' | 'falseNotRun' | 'answerWithoutRun' | 'otherAnswer' | 'stuckKey';
	readonly key: string;
	readonly detail: string;
};

/** What one run's attempts came to, by kind. */
export type OracleCounts = {
	readonly keys: number;
	readonly attempts: number;
	readonly answered: number;
	readonly notRun: number;
	readonly unknown: number;
	readonly lost: number;
};

/** Remembers every attempt of a run. */
export class OnceOracle {
	/**
	 * @example
	 * const oracle = OnceOracle.create();
	 */
	static create(): OnceOracle {
		return new OnceOracle();
	}

	readonly #attempts: Attempt[] = [];
	readonly #keys = new Map<string, Attempt[]>();

	private constructor() {
		// Made by create.
	}

	/** Records that an attempt is sent; the returned function records how it ended. */
	addAttempt(key: string): {readonly name: string; readonly end: (end: AttemptOutcome) => void} {
		const attempt: Attempt = {id: `a${this.#attempts.length}`, key, outcome: undefined};
		this.#attempts.push(attempt);
		const attempts = this.#keys.get(key) ?? [];
		attempts.push(attempt);
		this.#keys.set(key, attempts);
		return {
			name: attempt.id,
			end(end) {
				attempt.outcome = end;
			},
		};
	}

	/** Keys in the order of their first attempt. */
	listKeys(): readonly string[] {
		return [...this.#keys.keys()];
	}

	/** Compares what was told with what was run. */
	listViolations(ledger: readonly LedgerEntry[]): Violation[] {
		const runs = new Map<string, string[]>();
		for (const entry of ledger) {
			runs.set(entry.key, [...(runs.get(entry.key) ?? []), ...entry.attempts]);
		}

		const violations: Violation[] = [];
		for (const [key, attempts] of this.#keys) {
			violations.push(...this.#compareRuns(key, attempts, runs.get(key) ?? []));
		}

		return violations;
	}

	readCounts(): OracleCounts {
		const counts = {answered: 0, notRun: 0, unknown: 0, lost: 0};
		for (const {outcome: end} of this.#attempts) {
			counts[end?.kind ?? 'lost']++;
		}

		return {keys: this.#keys.size, attempts: this.#attempts.length, ...counts};
	}

	#compareRuns(key: string, attempts: readonly Attempt[], runs: readonly string[]): Violation[] {
		const violations: Violation[] = [];
		if (runs.length > 1) {
			violations.push({kind: 'duplicateRun', key, detail: `ran as ${runs.join(', ')}`});
		}

		const bodies = new Set<string>();
		let isAllNotRun = true;
		for (const {id: name, outcome: end} of attempts) {
			isAllNotRun &&= end?.kind === 'notRun';
			if (end?.kind === 'notRun' && runs.includes(name)) {
				violations.push({kind: 'falseNotRun', key, detail: `${name} was told ${end.reason}`});
			}

			if (end?.kind === 'answered') {
				bodies.add(end.body);
			}
		}

		if (isAllNotRun && runs.length > 0) {
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
