/**
 * Settings of the platform's table and object store, the same for every binary.
 */
import * as z from 'zod/mini';
import {type PlatformSettings} from '../store/settings.ts';
import {httpUrl, text, wholeNumber} from './fields.ts';

export const platformSection = z.strictObject({
	table_url: httpUrl().check(
		z.describe('Address of the table service, which speaks the DynamoDB JSON API'),
	),
	objects_url: httpUrl().check(z.describe('Address of the object store, which speaks the S3 API')),
	table_name: text().check(z.describe('Name of the table')),
	bucket: text().check(z.describe('Name of the bucket')),
	aws_region: text().check(z.describe('Region that requests are signed for')),
	access_key_id: text().check(z.describe('Id of the key that signs requests')),
	secret_access_key: text().check(z.describe('Key that signs requests')),
	timeout_ms: z
		._default(wholeNumber(10, 60_000), 1000)
		.check(z.describe('Longest time in milliseconds for one attempt at the platform')),
});

export type PlatformSection = z.output<typeof platformSection>;

/**
 * Converts the section of a settings file to what the platform adapters take.
 *
 * @example
 * const platform = createPlatform(convertPlatformSection(settings.platform));
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
