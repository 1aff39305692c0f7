/**
 * Settings of the operators' tools: primrosevalvectl, primrosevalve-console and primrosevalve-report.
 */
import * as z from 'zod/mini';
import {ipAddress, name, port, secret, wholeNumber} from './fields.ts';
import {platformSection} from './platform-settings.ts';

/** Addresses of administration ports, separated by commas. */
const urlList = () =>
	z.pipe(
		z
			.string()
			.check(
				z.regex(
					/^\s*https?:\/\/[^\s,]+(?:\s*,\s*https?:\/\/[^\s,]+)*\s*$/v,
					'use http addresses, separated by commas',
				),
			),
		z.transform(value => value.split(',').map(url => url.trim().replace(/\/$/v, ''))),
	);

export const operatorSettingsSchema = z.strictObject({
	platform: platformSection,
	admin: z.strictObject({
		key: secret(),
		/** Administration ports to ask; the first that answers tells of the other daemons. */
		urls: urlList(),
		/** Administration port of every other daemon; 0 asks only the daemons in `urls`. */
		port: z._default(port(), 0),
		timeout_ms: z._default(wholeNumber(10, 60_000), 2000),
	}),
	console: z._default(
		z.strictObject({
			address: z._default(ipAddress(), '127.0.0.1'),
			port: z._default(port(), 8480),
		}),
		{address: '127.0.0.1', port: 8480},
	),
	burn: z._default(
		z.strictObject({
			/** Name of the process that collects counters; each collector needs its own. */
			collector: z._default(name(), 'collector'),
			interval_seconds: z._default(wholeNumber(5, 300), 60),
		}),
		{collector: 'collector', interval_seconds: 60},
	),
});

export type OperatorSettings = z.output<typeof operatorSettingsSchema>;
