/**
 * Settings of the platform's table and object store, the same for every binary.
 */
import * as z from 'zod/mini';
import {type PlatformSettings} from '../store/settings.ts';
import {httpUrl, nonEmptyText, wholeNumber} from './fields.ts';

export const platformSection = z.strictObject({
	table_url: httpUrl().check(
		z.describe('URL of the table service, which implements the DynamoDB JSON API'),
	),
	objects_url: httpUrl().check(z.describe('URL of the object store, which implements the S3 API')),
	table_name: nonEmptyText().check(z.describe('Name of the table')),
	bucket: nonEmptyText().check(z.describe('Name of the bucket')),
	aws_region: nonEmptyText().check(z.describe('AWS region for which requests are signed')),
	access_key_id: nonEmptyText().check(z.describe('Access key ID used to sign requests')),
	secret_access_key: nonEmptyText().check(z.describe('Secret access key used to sign requests')),
	timeout_ms: z
		._default(wholeNumber(10, 60_000), 1000)
		.check(z.describe('Timeout in milliseconds of one attempt of a request to the platform')),
});

export type PlatformSection = z.output<typeof platformSection>;

/**
 * Converts the section of a settings file to the settings of the platform clients.
 *
 * @example
 * const platform = createPlatformClients(convertPlatformSection(settings.platform));
 */
export function convertPlatformSection(section: PlatformSection): PlatformSettings {
	return {
		tableUrl: section.table_url,
		objectsUrl: section.objects_url,
		tableName: section.table_name,
		bucket: section.bucket,
		awsRegion: section.aws_region,
		accessKeyId: section.access_key_id,
		secretAccessKey: section.secret_access_key,
		timeoutMs: section.timeout_ms,
	};
}
