/**
 * What the sidecar asks of the shared table; the adapter answers with the platform's store.
 */
import {type Result} from 'neverthrow';

/** One row of the shared table. */
export type Row = {
	readonly key: string;
	/** Undefined for a row that was removed. */
	readonly value: string | undefined;
	/** Grows with each write of the row; 0 means that there is no row. */
	readonly version: number;
};

/** Rows as of one moment. */
export type RowSet = {readonly rows: readonly Row[]; readonly version: number};

/** Why the store gave no result. */
export type StoreFailure =
	/** The store can't be reached, is busy or answers with an error. */
	| {readonly kind: 'unavailable'; readonly reason: string; readonly mayHaveRun: boolean}
	/** Another write came first. */
	| {readonly kind: 'conflict'; readonly version: number}
	/** The history that was asked for is gone; read the rows anew. */
	| {readonly kind: 'compacted'};

/** Formats why the store gave no result, for a log line. */
export function formatFailure(failure: StoreFailure): string {
	return failure.kind === 'unavailable' ? failure.reason : failure.kind;
}

/** Where rows live: what the operators write, and what sidecars announce. */
export type TableName = 'operator' | 'members';

export type SharedTable = {
	readRows(table: TableName): Promise<Result<RowSet, StoreFailure>>;
	/** Waits up to `waitMs` for changes after a version. */
	readChanges(
		table: TableName,
		after: number,
		waitMs: number,
	): Promise<Result<RowSet, StoreFailure>>;
	/** Writes a row if its version is still `expectedVersion`. */
	writeRow(
		table: TableName,
		key: string,
		value: string | undefined,
		expectedVersion: number,
	): Promise<Result<number, StoreFailure>>;
	/** Closes connections so that later calls start on new ones. */
	close(): void;
};
