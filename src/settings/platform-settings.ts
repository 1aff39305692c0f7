/**
 * Settings of the platform's table and object store, the same for every binary.
 */
import * as z from 'zod/mini';
import {httpUrl, text, wholeNumber} from './fields.ts';

export const platformSection = z.strictObject({
	table_url: httpUrl(),
	objects_url: httpUrl(),
	table_name: text(),
	bucket: text(),
	aws_region: text(),
	access_key_id: text(),
	secret_access_key: text(),
	timeout_ms: z._default(wholeNumber(10, 60_000), 1000),
});

export type PlatformSection = z.output<typeof platformSection>;
