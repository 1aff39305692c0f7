/**
 * Creates the clients of the platform's table and object store.
 */
import {DynamoTable} from './dynamo-table.ts';
import {ResilientObjectStore} from './resilient-object-store.ts';
import {ResilientTable} from './resilient-table.ts';
import {S3ObjectStore} from './s3-object-store.ts';
import {type PlatformSettings} from './settings.ts';
import {type ObjectStore, type Table} from './types.ts';

/** Clients that send each request once. */
export type PlatformClients = {
	readonly table: Table;
	readonly objects: ObjectStore;
	/** Closes all connections; requests in flight fail. */
	close(): Promise<void>;
};

/** Clients that send requests with retries through a circuit breaker. */
export type ResilientPlatformClients = {
	readonly table: ResilientTable;
	readonly objects: ResilientObjectStore;
	/** Closes all connections; requests in flight fail. */
	close(): Promise<void>;
};

/**
 * Creates clients with retries, circuit breakers and request counts.
 *
 * @example
 * const clients = createResilientPlatformClients(settings);
 * clients.table.executor.readUsage();
 */
export function createResilientPlatformClients(
	settings: PlatformSettings,
): ResilientPlatformClients {
	const clients = createPlatformClients(settings);
	return {
		table: ResilientTable.create(clients.table),
		objects: ResilientObjectStore.create(clients.objects),
		close: async () => clients.close(),
	};
}

/**
 * Creates clients without retries for the HTTP APIs of the table and the object store.
 *
 * @example
 * const clients = createPlatformClients(settings);
 * const head = await clients.table.get({partition: 'config', sort: 'head'});
 */
export function createPlatformClients(settings: PlatformSettings): PlatformClients {
	const table = DynamoTable.create(settings);
	const objects = S3ObjectStore.create(settings);
	return {
		table,
		objects,
		async close() {
			await Promise.all([table.close(), objects.close()]);
		},
	};
}
