/**
 * Builds the platform adapters of one process.
 */
import {DynamoTable} from './dynamo-table.ts';
import {ResilientObjects} from './resilient-objects.ts';
import {ResilientTable} from './resilient-table.ts';
import {S3Objects} from './s3-objects.ts';
import {type PlatformSettings} from './settings.ts';
import {type ObjectStore, type Table} from './types.ts';

export type Platform = {
	readonly table: Table;
	readonly objects: ObjectStore;
	/** Closes all connections; requests in flight fail. */
	close(): Promise<void>;
};

/** Adapters behind retries and circuits. */
export type ResilientPlatform = {
	readonly table: ResilientTable;
	readonly objects: ResilientObjects;
	/** Closes all connections; requests in flight fail. */
	close(): Promise<void>;
};

/**
 * Creates the table and the object store with retries, circuits and usage counts.
 *
 * @example
 * const platform = createResilientPlatform(settings);
 * platform.table.resilience.readUsage();
 */
export function createResilientPlatform(settings: PlatformSettings): ResilientPlatform {
	const inner = createPlatform(settings);
	return {
		table: ResilientTable.create(inner.table),
		objects: ResilientObjects.create(inner.objects),
		close: async () => inner.close(),
	};
}

/**
 * Creates the table and the object store over their HTTP APIs.
 *
 * @example
 * const platform = createPlatform(settings);
 * const head = await platform.table.get({partition: 'config', sort: 'head'});
 */
export function createPlatform(settings: PlatformSettings): Platform {
	const table = DynamoTable.create(settings);
	const objects = S3Objects.create(settings);
	return {
		table,
		objects,
		async close() {
			await Promise.all([table.close(), objects.close()]);
		},
	};
}
