/**
 * Runs commands of the operators' tools against stand-ins, for tests.
 */
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PassThrough} from 'node:stream';
import {stringify} from 'ini';
import {runCli, type CliProgram} from '../../src/operator/commands/run-cli.ts';
import {type ObjectStore} from '../../src/store/types.ts';
import {PolicyStore} from '../../src/policy/policy-store.ts';
import {defaultStandInOptions, type PlatformStandIn} from '../platform/platform-stand-in.ts';
import {startPlatform} from '../platform/start-platform.ts';
import {AdminStandIn, standInAdminKey} from './admin-stand-in.ts';

/** Exit code and output of one command. */
export type CommandResult = {
	readonly code: number;
	readonly stdout: string;
	readonly stderr: string;
};
export type OperatorFixture = {
	readonly standIn: PlatformStandIn;
	readonly daemon: AdminStandIn;
	readonly policies: PolicyStore;
	readonly objects: ObjectStore;
	readonly run: (...args: readonly string[]) => Promise<CommandResult>;
	readonly writeText: (name: string, text: string) => string;
	readonly writeSettings: (key: string) => string;
};

function readStream(stream: PassThrough): string {
	return ((stream.read() ?? '') as Uint8Array | string).toString();
}

/**
 * Runs one command of a program.
 *
 * @example
 * const {code, stdout} = await runCommand(controlProgram, ['status']);
 */
export async function runCommand(
	program: CliProgram,
	args: readonly string[],
): Promise<CommandResult> {
	const stdout = new PassThrough();
	const stderr = new PassThrough();
	const code = await runCli(program, args, {stdout, stderr});
	return {code, stdout: readStream(stdout), stderr: readStream(stderr)};
}

/**
 * Runs a check against a platform stand-in and one administration port, and closes both afterwards.
 *
 * @example
 * await runWithStandIns(controlProgram, async ({run}) => run('status'));
 */
export async function runWithStandIns(
	program: CliProgram,
	check: (fixture: OperatorFixture) => Promise<void>,
): Promise<void> {
	const {standIn, clients: platform, url, close} = await startPlatform();
	const daemon = await AdminStandIn.open();
	const folder = mkdtempSync(path.join(tmpdir(), 'primrosevalvectl-'));
	const writeText = (name: string, text: string) => {
		const file = path.join(folder, name);
		writeFileSync(file, text);
		return file;
	};

	const writeSettings = (key: string) =>
		writeText(
			`${key}.ini`,
			stringify({
				platform: {
					table_url: url,
					objects_url: url,
					table_name: defaultStandInOptions.tableName,
					bucket: defaultStandInOptions.bucket,
					aws_region: 'local',
					access_key_id: defaultStandInOptions.accessKeyId,
					secret_access_key: defaultStandInOptions.secretAccessKey,
				},
				admin: {key, urls: daemon.url},
			}),
		);
	const settings = writeSettings(standInAdminKey);
	try {
		await check({
			standIn,
			daemon,
			objects: platform.objects,
			policies: PolicyStore.create(platform.table, {readTimeMs: () => Date.now()}),
			run: async (...args) => runCommand(program, [...args, '--settings', settings]),
			writeText,
			writeSettings,
		});
	} finally {
		daemon.close();
		await close();
	}
}
