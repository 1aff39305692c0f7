/**
 * Settings of the daemon.
 */
import * as z from 'zod/mini';
import {ipAddress, name, port, secret, wholeNumber} from './fields.ts';
import {platformSection} from './platform-settings.ts';

export const daemonSettingsSchema = z.strictObject({
	daemon: z.strictObject({
		/** Name of the backend server beside the daemon. */
		server: name(),
		service: name(),
		data_centre: name(),
		region: name(),
		/** Address that other daemons use. */
		address: ipAddress(),
	}),
	listeners: z.strictObject({
		caller_port: port(),
		local_port: port(),
		peer_port: port(),
		admin_port: port(),
	}),
	backend: z.strictObject({
		port: port(),
	}),
	keys: z.strictObject({
		peer: secret(),
		admin: secret(),
	}),
	platform: platformSection,
	limits: z._default(
		z.strictObject({
			header_timeout_ms: z._default(wholeNumber(100, 600_000), 5000),
			body_timeout_ms: z._default(wholeNumber(100, 600_000), 30_000),
			max_header_bytes: z._default(wholeNumber(1024, 65_536), 16_384),
			max_connections: z._default(wholeNumber(1, 65_535), 4000),
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
			level: z._default(z.enum(['debug', 'info', 'warn', 'error']), 'info'),
		}),
		{level: 'info'},
	),
});

export type DaemonSettings = z.output<typeof daemonSettingsSchema>;
