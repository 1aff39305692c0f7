/**
 * Settings of the operator tools: primrosevalvectl, primrosevalve-console and primrosevalve-report.
 */
import * as z from 'zod/mini';
import {ipAddress, name, port, secret, wholeNumber} from './fields.ts';
import {platformSection} from './platform-settings.ts';

/** URLs of administration ports, separated by commas; the trailing slash of each is removed. */
const urlList = () =>
	z.pipe(
		z
			.string()
			.check(
				z.regex(
					/^\s*https?:\/\/[^\s,]+(?:\s*,\s*https?:\/\/[^\s,]+)*\s*$/v,
					'not a list of http or https URLs separated by commas',
				),
			),
		z.transform(value => value.split(',').map(url => url.trim().replace(/\/$/v, ''))),
	);

export const operatorSettingsSchema = z.strictObject({
	platform: platformSection,
	admin: z.strictObject({
		key: secret().check(
			z.describe(
				'Key that authenticates requests to the administration ports; the same as in the settings of the daemons',
			),
		),
		urls: urlList().check(
			z.describe(
				'URLs of administration ports, separated by commas; the first daemon that responds provides the list of the other daemons',
			),
		),
		port: z
			._default(port(), 0)
			.check(
				z.describe(
					'Administration port of every other daemon; with 0, requests go only to the daemons in urls',
				),
			),
		timeout_ms: z
			._default(wholeNumber(10, 60_000), 2000)
			.check(z.describe('Timeout in milliseconds of one request to a daemon')),
	}),
	console: z._default(
		z.strictObject({
			address: z
				._default(ipAddress(), '127.0.0.1')
				.check(z.describe('IPv4 address on which the console listens')),
			port: z._default(port(), 8480).check(z.describe('Port of the console')),
		}),
		{address: '127.0.0.1', port: 8480},
	),
	burn: z._default(
		z.strictObject({
			collector: z
				._default(name(), 'collector')
				.check(
					z.describe('Name of the process that collects counters; each collector needs its own'),
				),
			interval_seconds: z
				._default(wholeNumber(5, 300), 60)
				.check(z.describe('Interval in seconds between two collections of the counters')),
		}),
		{collector: 'collector', interval_seconds: 60},
	),
});

export type OperatorSettings = z.output<typeof operatorSettingsSchema>;
