/** A shared table whose answers count only while they are from the latest era of the store (fencing by epoch). */
import {err, type Result} from 'neverthrow';
import {type Logger} from '../../reporting/logger.ts';
import {
	type RowSet,
	type SharedTable,
	type StoreFailure,
	type StorePosition,
	type TableName,
} from '../shared-table.ts';
import {EraTracker} from './era-tracker.ts';

export class FencedTable implements SharedTable {
	/**
	 * @param handleRestored - called when the store says for the first time that it was restored
	 * @example
	 * const fenced = FencedTable.create(table, logger, readAllAgain);
	 * const result = await fenced.readRows('members');
	 */
	static create(table: SharedTable, logger: Logger, handleRestored: () => void): FencedTable {
		return new FencedTable(table, logger, handleRestored);
	}

	readonly #era = EraTracker.create();

	private constructor(
		private readonly table: SharedTable,
		private readonly logger: Logger,
		private readonly handleRestored: () => void,
	) {}

	/** Era of the store, as it last answered. */
	get era(): number {
		return this.#era.current;
	}

	async readRows(table: TableName): Promise<Result<RowSet, StoreFailure>> {
		return this.#record(await this.table.readRows(table));
	}

	async readRow(table: TableName, key: string): Promise<Result<RowSet, StoreFailure>> {
		return this.#record(await this.table.readRow(table, key));
	}

	async readChanges(
		table: TableName,
		after: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<RowSet, StoreFailure>> {
		return this.#record(await this.table.readChanges(table, after, waitMs, signal));
	}

	async writeRow(
		table: TableName,
		key: string,
		value: string | undefined,
		expectedVersion: number,
	): Promise<Result<StorePosition, StoreFailure>> {
		return this.#record(await this.table.writeRow(table, key, value, expectedVersion));
	}

	close(): void {
		this.table.close();
	}

	#record<T extends StorePosition>(result: Result<T, StoreFailure>): Result<T, StoreFailure> {
		const era = readEra(result);
		if (era === undefined) {
			return result;
		}

		const before = this.era;
		switch (this.#era.record(era)) {
			case 'current': {
				return result;
			}

			case 'restored': {
				this.logger.warn({era, before}, 'store was restored from an older copy');
				this.handleRestored();
				return result;
			}

			case 'outdated': {
				const reason = `the answer is from era ${era} of the store, before ${before}`;
				return err({kind: 'unavailable', reason, mayHaveRun: true});
			}
		}
	}
}

function readEra(result: Result<StorePosition, StoreFailure>): number | undefined {
	if (result.isOk()) {
		return result.value.era;
	}

	switch (result.error.kind) {
		case 'conflict':
		case 'compacted': {
			return result.error.era;
		}

		case 'unavailable': {
			return undefined;
		}
	}
}
