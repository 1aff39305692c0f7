/**
 * Settings of the daemon.
 */
import * as z from 'zod/mini';
import {ipAddress, name, port, secret, wholeNumber} from './fields.ts';
import {platformSection} from './platform-settings.ts';

export const daemonSettingsSchema = z.strictObject({
	daemon: z.strictObject({
		server: name().check(z.describe('Name of the backend server beside the daemon')),
		service: name().check(z.describe('Service that the backend server belongs to')),
		data_centre: name().check(z.describe('Data centre of the daemon')),
		region: name().check(z.describe('Region of the data centre')),
		address: ipAddress().check(
			z.describe('IPv4 address on which the daemon listens and at which other daemons reach it'),
		),
	}),
	listeners: z.strictObject({
		caller_port: port().check(z.describe('Port for callers')),
		local_port: port().check(
			z.describe('Port on 127.0.0.1 for the outgoing calls of the local backend server'),
		),
		peer_port: port().check(z.describe('Port for other daemons')),
		admin_port: port().check(z.describe('Port for health, metrics and administration')),
	}),
	backend: z.strictObject({
		port: port().check(z.describe('Port of the backend server on 127.0.0.1')),
	}),
	keys: z.strictObject({
		peer: secret().check(z.describe('Key with which daemons authenticate to each other')),
		admin: secret().check(z.describe('Key that authenticates requests to the administration port')),
	}),
	platform: platformSection,
	limits: z._default(
		z.strictObject({
			header_timeout_ms: z
				._default(wholeNumber(100, 600_000), 5000)
				.check(z.describe('Maximum time in milliseconds to receive the head of a request')),
			body_timeout_ms: z
				._default(wholeNumber(100, 600_000), 30_000)
				.check(
					z.describe(
						'Maximum time in milliseconds to receive the body of a request after its head',
					),
				),
			max_header_bytes: z
				._default(wholeNumber(1024, 65_536), 16_384)
				.check(z.describe('Maximum size in bytes of the head of a request')),
			max_connections: z
				._default(wholeNumber(1, 65_535), 4000)
				.check(z.describe('Maximum number of connections to each listener')),
		}),
		{
			header_timeout_ms: 5000,
			body_timeout_ms: 30_000,
			max_header_bytes: 16_384,
			max_connections: 4000,
		},
	),
	log: z._default(
		z.strictObject({
			level: z
				._default(z.enum(['debug', 'info', 'warn', 'error']), 'info')
				.check(z.describe('Lowest level of log lines that are written')),
		}),
		{level: 'info'},
	),
});

export type DaemonSettings = z.output<typeof daemonSettingsSchema>;
