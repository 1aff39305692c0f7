/**
 * Interface of the tables that operators and sidecars share; the adapter in `platform/` implements it with the
 * platform's row store.
 */
import {type Result} from 'neverthrow';

/** One row of a shared table. */
export type Row = {
	readonly key: string;
	/** Undefined for a removed row. */
	readonly value: string | undefined;
	/** Increases with each write of the row; 0 means that there is no row. */
	readonly version: number;
};

/**
 * A point in the history of the store. The era rises each time that the store returns from an older copy; versions
 * are then given out again, so that they order writes of one era only.
 */
export type StorePosition = {readonly era: number; readonly version: number};

/** Rows returned by one read, and the position of the store at that time. */
export type RowSet = StorePosition & {readonly rows: readonly Row[]};

/** Why the store gave no result. */
export type StoreFailure =
	/**
	 * The store is unreachable, busy or returned an error; `mayHaveRun` is true if it may have carried out the
	 * call nevertheless.
	 */
	| {readonly kind: 'unavailable'; readonly reason: string; readonly mayHaveRun: boolean}
	/** Another write came first; `version` is the current one of the row, 0 if there is no row. */
	| {readonly kind: 'conflict'; readonly version: number; readonly era: number}
	/** The changes after the given version are not kept; read all rows again. */
	| {readonly kind: 'compacted'; readonly era: number};

/** Formats a store failure for a log line. */
export function formatFailure(failure: StoreFailure): string {
	return failure.kind === 'unavailable' ? failure.reason : failure.kind;
}

/** The tables: `operator` holds the configuration, `members` the announcements of the sidecars. */
export type TableName = 'operator' | 'members';

export type SharedTable = {
	readRows(table: TableName): Promise<Result<RowSet, StoreFailure>>;
	/** Reads one row. */
	readRow(table: TableName, key: string): Promise<Result<RowSet, StoreFailure>>;
	/** Returns the rows that changed after a version; waits up to `waitMs` for the first change. */
	readChanges(
		table: TableName,
		after: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<Result<RowSet, StoreFailure>>;
	/**
	 * Writes a row, or removes it if the value is undefined, provided its version is `expectedVersion`. Returns the
	 * position of the write.
	 */
	writeRow(
		table: TableName,
		key: string,
		value: string | undefined,
		expectedVersion: number,
	): Promise<Result<StorePosition, StoreFailure>>;
	/** Closes all connections; later calls open new ones. */
	close(): void;
};
