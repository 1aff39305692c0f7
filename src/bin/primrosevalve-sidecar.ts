#!/usr/bin/env node
/**
 * The sidecar that runs beside one backend server of the users' platform.
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

/** The settings file may change without a signal; this often it is compared. */
const settingsCheckMs = 1000;

const logger = Logger.create('primrosevalve-sidecar', 'info');

/** Ends the process with one line on standard error. */
function stopWithError(message: string): never {
	process.stderr.write(`primrosevalve-sidecar: ${message}\n`);
	process.exit(1);
}

const file = process.env[settingsVariable];
if (file === undefined) {
	stopWithError(`the environment variable ${settingsVariable} names no settings file`);
}

let text = '';

/** Reads the settings; undefined when they have not changed. */
function readSettings(): SidecarSettings | undefined {
	const newText = readFileSync(file!, 'utf8');
	if (newText === text) {
		return undefined;
	}

	const decoded = decodeBootSettings(newText);
	if (decoded.isErr()) {
		throw decoded.error;
	}

	text = newText;
	return decoded.value;
}

function loadFirstSettings(): SidecarSettings {
	try {
		return readSettings()!;
	} catch (error) {
		return stopWithError((error as Error).message);
	}
}

const settings = loadFirstSettings();
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

function reload(): void {
	try {
		const changed = readSettings();
		if (changed !== undefined) {
			sidecar.reload(changed);
		}
	} catch (error) {
		logger.error({reason: (error as Error).message}, 'settings not read, the former ones hold');
	}
}

async function stop(): Promise<void> {
	await sidecar.stop();
	process.exit(0);
}

process.on('SIGHUP', reload);
const handleStop = () => {
	void stop();
};

process.on('SIGTERM', handleStop);
process.on('SIGINT', handleStop);
setInterval(reload, settingsCheckMs).unref();
await sidecar.start();
