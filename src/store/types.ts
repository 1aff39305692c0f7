/**
 * Interfaces of the platform's transactional table and object store.
 *
 * They are small, so that a platform with another API needs only another client.
 */
import {type ResultAsync} from 'neverthrow';
import {type PlatformError} from './errors.ts';

/** A table row: a partition, a sort key, a revision for conditional writes, and a JSON body. */
export type TableRow = {
	readonly partition: string;
	readonly sort: string;
	/** Revision chosen by the writer; write conditions compare it. */
	readonly revision: string;
	readonly body: string;
	/** Unix time in seconds after which the platform may delete the row. */
	readonly expiresAtSeconds?: number;
};

export type RowKey = {readonly partition: string; readonly sort: string};

/** Condition that the stored row must meet for a write to take effect. */
export type WriteCondition =
	| {readonly kind: 'none'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'revision'; readonly revision: string};

export type TableWrite =
	| {readonly kind: 'put'; readonly row: TableRow; readonly condition: WriteCondition}
	| {readonly kind: 'delete'; readonly key: RowKey; readonly condition: WriteCondition};

/** Transactional table. A `conditionFailed` error proves that nothing was written. */
export type Table = {
	get(key: RowKey): ResultAsync<TableRow | undefined, PlatformError>;
	write(write: TableWrite): ResultAsync<void, PlatformError>;
	/** Applies all writes or none. */
	transact(writes: readonly TableWrite[]): ResultAsync<void, PlatformError>;
	/** Returns the rows of a partition whose sort key starts with `prefix`, ordered by sort key. */
	query(partition: string, prefix: string): ResultAsync<readonly TableRow[], PlatformError>;
};

export type ObjectStore = {
	put(key: string, body: Uint8Array, contentType: string): ResultAsync<void, PlatformError>;
	get(key: string): ResultAsync<Uint8Array | undefined, PlatformError>;
	list(prefix: string): ResultAsync<readonly string[], PlatformError>;
};
