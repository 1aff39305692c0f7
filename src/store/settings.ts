/**
 * Settings of the clients of the platform's table and object store.
 */

export type PlatformSettings = {
	/** Base URL of the table service, which implements the DynamoDB JSON API. */
	readonly tableUrl: string;
	/** Base URL of the object store, which implements the S3 API with path-style addresses. */
	readonly objectsUrl: string;
	readonly tableName: string;
	readonly bucket: string;
	readonly awsRegion: string;
	readonly accessKeyId: string;
	readonly secretAccessKey: string;
	/** Timeout of one attempt in milliseconds, from connecting to the last byte of the response. */
	readonly timeoutMs: number;
};
