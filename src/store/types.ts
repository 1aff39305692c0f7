/**
 * Ports to the platform's transactional table and object store.
 *
 * They stay thin, so that another face of the platform needs only another adapter.
 */
import {type ResultAsync} from 'neverthrow';
import {type PlatformError} from './errors.ts';

/** A table row: a partition, a sort key, a revision for conditional writes, and a JSON body. */
export type TableRow = {
	readonly partition: string;
	readonly sort: string;
	/** Revision that the writer chose; conditions compare it. */
	readonly revision: string;
	readonly body: string;
	/** Seconds since 1970 after which the platform may remove the row. */
	readonly expiresAtSeconds?: number;
};

export type RowKey = {readonly partition: string; readonly sort: string};

/** What must hold for a write to take effect. */
export type WriteCondition =
	| {readonly kind: 'none'}
	| {readonly kind: 'absent'}
	| {readonly kind: 'revision'; readonly revision: string};

export type TableWrite =
	| {readonly kind: 'put'; readonly row: TableRow; readonly condition: WriteCondition}
	| {readonly kind: 'delete'; readonly key: RowKey; readonly condition: WriteCondition};

/** The transactional table. A `conditionFailed` error proves that nothing was written. */
export type Table = {
	get(key: RowKey): ResultAsync<TableRow | undefined, PlatformError>;
	write(write: TableWrite): ResultAsync<void, PlatformError>;
	/** Writes all or none. */
	transact(writes: readonly TableWrite[]): ResultAsync<void, PlatformError>;
	/** Lists rows of a partition whose sort key starts with `prefix`, in order of the sort key. */
	query(partition: string, prefix: string): ResultAsync<readonly TableRow[], PlatformError>;
};

export type ObjectStore = {
	put(key: string, body: Uint8Array, contentType: string): ResultAsync<void, PlatformError>;
	get(key: string): ResultAsync<Uint8Array | undefined, PlatformError>;
	list(prefix: string): ResultAsync<readonly string[], PlatformError>;
};
