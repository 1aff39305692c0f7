#!/usr/bin/env node
/**
 * Starts a sidecar beside one backend server of the users' platform.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	configKey,
	decodeBootSettings,
	decodeOperatorConfig,
	decodeServerMessage,
	headCodec,
	settingsVariable,
	StoreClient,
} from '../../platform/index.ts';
import {Logger} from '../reporting/logger.ts';
import {Sidecar} from '../sidecar/sidecar.ts';
import {type SidecarSettings} from '../sidecar/types.ts';

/** The settings file may change without a signal, so it is also read periodically. */
const settingsCheckIntervalMs = 1000;

const logger = Logger.create('primrosevalve-sidecar', 'info');

/** Writes a message to standard error and exits with status 1. */
function exitWithError(message: string): never {
	process.stderr.write(`primrosevalve-sidecar: ${message}\n`);
	process.exit(1);
}

const settingsFile = process.env[settingsVariable];
if (settingsFile === undefined) {
	exitWithError(
		`the environment variable ${settingsVariable} is not set; it must hold the path of the settings file`,
	);
}

let settingsText = '';

/** Reads the settings; returns undefined if the file has not changed. */
function readSettings(): SidecarSettings | undefined {
	const newText = readFileSync(settingsFile!, 'utf8');
	if (newText === settingsText) {
		return undefined;
	}

	const decoded = decodeBootSettings(newText);
	if (decoded.isErr()) {
		throw decoded.error;
	}

	settingsText = newText;
	return decoded.value;
}

function loadInitialSettings(): SidecarSettings {
	try {
		return readSettings()!;
	} catch (error) {
		return exitWithError((error as Error).message);
	}
}

const settings = loadInitialSettings();
const table = StoreClient.create(settings.storeAddress);
const sidecar = Sidecar.create(
	settings,
	{
		codec: headCodec,
		table,
		configKey,
		decodeConfig: decodeOperatorConfig,
		decodeServerMessage,
	},
	logger,
);

function reloadSettings(): void {
	try {
		const changed = readSettings();
		if (changed !== undefined) {
			sidecar.reload(changed);
		}
	} catch (error) {
		logger.error(
			{reason: (error as Error).message},
			'could not reload the settings; keeping the previous ones',
		);
	}
}

async function stopSidecar(): Promise<void> {
	await sidecar.stop();
	process.exit(0);
}

/**
 * Keeps the process running after an error that no handler caught: the request or connection that it belongs
 * to ends at its own time limit, while an exit would end those of all other callers.
 */
function handleUncaughtError(error: unknown): void {
	const {message, stack} = error instanceof Error ? error : new Error(String(error));
	logger.error({reason: message, stack}, 'uncaught error');
}

function handleStop(): void {
	void stopSidecar();
}

async function startSidecar(): Promise<void> {
	try {
		await sidecar.start();
	} catch (error) {
		exitWithError(`could not start: ${(error as Error).message}`);
	}
}

function runProcess(): void {
	process.on('uncaughtException', handleUncaughtError);
	process.on('unhandledRejection', handleUncaughtError);
	process.on('SIGHUP', reloadSettings);
	process.on('SIGTERM', handleStop);
	process.on('SIGINT', handleStop);
	setInterval(reloadSettings, settingsCheckIntervalMs).unref();
	void startSidecar();
}

runProcess();
