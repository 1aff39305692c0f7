#!/usr/bin/env -S MALLOC_ARENA_MAX=1 MALLOC_TRIM_THRESHOLD_=65536 MALLOC_TOP_PAD_=0 MALLOC_MMAP_THRESHOLD_=32768 node --max-semi-space-size=1 --single-threaded-gc
/**
 * Daemon that runs beside one backend server.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {Daemon} from '../daemon/daemon.ts';
import {ListenError} from '../daemon/errors.ts';
import {Logger} from '../reporting/logger.ts';
import {daemonSettingsSchema} from '../settings/daemon-settings.ts';
import {loadSettings} from '../settings/load.ts';

const exitCodes = {failed: 1, usage: 2} as const;
const usage = 'usage: primrosevalved --settings FILE.ini\n';

/** Writes one line to standard error and exits. */
function exitWithError(message: string, code: number): never {
	process.stderr.write(`primrosevalved: ${message}\n`);
	process.exit(code);
}

/** Returns the path of the settings file given on the command line; exits on a usage error. */
function parseSettingsPath(): string {
	try {
		const {values} = parseArgs({
			options: {settings: {type: 'string'}, help: {type: 'boolean', short: 'h'}},
		});
		if (values.help) {
			process.stdout.write(usage);
			process.exit(0);
		}

		if (values.settings !== undefined) {
			return values.settings;
		}
	} catch (error) {
		exitWithError((error as Error).message, exitCodes.usage);
	}

	return exitWithError(`option --settings is missing; ${usage.trim()}`, exitCodes.usage);
}

const settingsResult = loadSettings(parseSettingsPath(), daemonSettingsSchema);
if (settingsResult.isErr()) {
	exitWithError(settingsResult.error.message, exitCodes.usage);
}

const settings = settingsResult.value;
const logger = Logger.create('primrosevalved', settings.log.level);
const daemon = Daemon.create(settings, logger);
daemon.onStopped(() => {
	process.exit(0);
});
const stopDaemon = () => {
	void daemon.stop();
};

process.on('SIGTERM', stopDaemon);
process.on('SIGINT', stopDaemon);

try {
	await daemon.start();
} catch (error) {
	if (error instanceof ListenError) {
		exitWithError(error.message, exitCodes.failed);
	}

	throw error;
}
