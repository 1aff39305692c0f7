/** The texts of a table's rows as last read, to find what a later read of the whole table changes. */
import {type Row} from '../shared-table.ts';

export type RowDifferences = {
	/** Rows with another text, and new ones. */
	readonly changed: readonly Row[];
	/** Keys of the rows that are gone. */
	readonly missing: readonly string[];
};

export class RowTexts {
	/**
	 * @example
	 * const texts = RowTexts.create();
	 * texts.apply(changedRows);
	 * const {changed, missing} = texts.diff(allRows);
	 */
	static create(): RowTexts {
		return new RowTexts();
	}

	readonly #texts = new Map<string, string>();

	/** Applies rows that changed; one without a value is gone. */
	apply(rows: readonly Row[]): void {
		for (const {key, value} of rows) {
			if (value === undefined) {
				this.#texts.delete(key);
			} else {
				this.#texts.set(key, value);
			}
		}
	}

	/** Compares with all rows of the table. Versions are left out, since a restored store gives them out again. */
	diff(rows: readonly Row[]): RowDifferences {
		const keys = new Set(rows.map(row => row.key));
		return {
			changed: rows.filter(row => this.#texts.get(row.key) !== row.value),
			missing: [...this.#texts.keys()].filter(key => !keys.has(key)),
		};
	}
}
