/**
 * Settings files of a test bed's processes, and the bench's own connection to the platform stand-in.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {stringify} from 'ini';
import {defaultStandInOptions} from '../../stand-ins/platform/platform-stand-in.ts';
import {createPlatformClients, type PlatformClients} from '../../src/store/platform-clients.ts';
import {convertPlatformSection} from '../../src/settings/platform-settings.ts';
import {type ServerSpec} from './types.ts';

/** Shared secrets of the daemons' peer and administration ports. */
export const benchKeys = {
	peer: 'bench-peer-key-0123456789',
	admin: 'bench-admin-key-0123456789',
} as const;

/** Creates the `platform` section of a settings file, which points at the platform stand-in. */
export const createPlatformSection = (platformUrl: string) => ({
	table_url: platformUrl,
	objects_url: platformUrl,
	table_name: defaultStandInOptions.tableName,
	bucket: defaultStandInOptions.bucket,
	aws_region: 'local',
	access_key_id: defaultStandInOptions.accessKeyId,
	secret_access_key: defaultStandInOptions.secretAccessKey,
});

const benchPlatformTimeoutMs = 2000;

/**
 * Creates clients with which the bench itself uses the platform stand-in.
 *
 * @example
 * const platform = createBenchPlatform(platformUrl);
 */
export function createBenchPlatformClients(platformUrl: string): PlatformClients {
	const section = createPlatformSection(platformUrl);
	return createPlatformClients(
		convertPlatformSection({...section, timeout_ms: benchPlatformTimeoutMs}),
	);
}

/**
 * Writes the settings file of one daemon. Ports of 0 let the operating system choose free ones.
 *
 * @returns path of the file
 * @example
 * const file = writeDaemonSettings(folder, server, backendPort, platformUrl);
 */
export function writeDaemonSettings(
	folder: string,
	server: ServerSpec,
	backendPort: number,
	platformUrl: string,
): string {
	const file = path.join(folder, `${server.server}.ini`);
	const content = {
		daemon: {
			server: server.server,
			service: server.service,
			data_centre: server.dataCentre,
			region: server.region,
			address: '127.0.0.1',
		},
		listeners: {caller_port: 0, local_port: 0, peer_port: 0, admin_port: 0},
		backend: {port: backendPort},
		keys: benchKeys,
		platform: createPlatformSection(platformUrl),
	};
	writeFileSync(file, stringify(content));
	return file;
}

/**
 * Writes the settings file of the operators' tools.
 *
 * @returns path of the file
 * @example
 * const file = writeOperatorSettings(folder, [7400], platformUrl);
 */
export function writeOperatorSettings(
	folder: string,
	adminPorts: readonly number[],
	platformUrl: string,
): string {
	const file = path.join(folder, 'operator.ini');
	const content = {
		platform: createPlatformSection(platformUrl),
		admin: {
			key: benchKeys.admin,
			urls: adminPorts.map(port => `http://127.0.0.1:${port}`).join(', '),
		},
		console: {port: 0},
	};
	writeFileSync(file, stringify(content));
	return file;
}
