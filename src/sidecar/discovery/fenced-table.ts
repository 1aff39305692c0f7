/** A shared table whose answers are checked against the era of the store. */
import {type Result} from 'neverthrow';
import {type Logger} from '../../reporting/logger.ts';
import {
	type RowSet,
	type SharedTable,
	type StoreFailure,
	type StorePosition,
	type TableName,
} from '../shared-table.ts';
import {StoreEra} from './store-era.ts';

export class FencedTable implements SharedTable {
	/**
	 * @example
	 * const fenced = FencedTable.create(table, logger);
	 * const result = await fenced.readRows('members');
	 */
	static create(table: SharedTable, logger: Logger): FencedTable {
		return new FencedTable(table, logger);
	}

	readonly #era = StoreEra.create();

	private constructor(
		private readonly table: SharedTable,
		private readonly logger: Logger,
	) {}

	/** Era of the store, as it last answered. */
	get era(): number {
		return this.#era.current;
	}

	async readRows(table: TableName): Promise<Result<RowSet, StoreFailure>> {
		return this.#record(await this.table.readRows(table));
	}

	async readChanges(
		table: TableName,
		after: number,
		waitMs: number,
	): Promise<Result<RowSet, StoreFailure>> {
		return this.#record(await this.table.readChanges(table, after, waitMs));
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
		const before = this.era;
		if (era !== undefined && this.#era.record(era) === 'restored') {
			this.logger.warn({era, before}, 'store was restored from an older copy');
		}

		return result;
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
