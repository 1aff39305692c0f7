/**
 * Work of the report commands.
 */
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {decodeRows} from '../../reporting/burn/row-codec.ts';
import {type BurnReport, type BurnRow} from '../../reporting/burn/types.ts';
import {OperatorError} from '../errors.ts';
import {openWorkspace, type Workspace} from '../workspace.ts';
import {
	collectCounters,
	computeBurn,
	computeBurnFrom,
	formatCollection,
	type BurnSource,
} from './burn-actions.ts';
import {type CommandResult} from './operator-command.ts';
import {reportFormats} from './report-formats.ts';

export type ReportOptions = {
	readonly format: string;
	readonly out: string | undefined;
	readonly source: BurnSource;
	/** File of rows in place of the object store. */
	readonly rowsFile: string | undefined;
};

async function readRowsFile(file: string): Promise<Result<readonly BurnRow[], OperatorError>> {
	try {
		const text = await readFile(file, 'utf8');
		return decodeRows(text).mapErr(error =>
			OperatorError.create('failed', `${file}: ${error.message}`, 'Correct or remove the line.'),
		);
	} catch (error) {
		const code = (error as NodeJS.ErrnoException).code ?? 'unreadable';
		const nextStep = 'Name a file of rows, or leave --rows out.';
		return err(OperatorError.create('usage', `can't read "${file}" (${code})`, nextStep));
	}
}

async function computeReport(
	workspace: Workspace,
	{source, rowsFile}: ReportOptions,
): Promise<Result<BurnReport, OperatorError>> {
	if (rowsFile === undefined) {
		const computed = await computeBurnFrom(workspace, source);
		return computed.map(({report}) => report);
	}

	const rows = await readRowsFile(rowsFile);
	return rows.isErr()
		? err(rows.error)
		: computeBurn(workspace, {kind: 'file', rows: rows.value}, Date.now());
}

async function writeOut(file: string, text: string): Promise<Result<void, OperatorError>> {
	try {
		await writeFile(file, text);
		return ok(undefined);
	} catch (error) {
		const code = (error as NodeJS.ErrnoException).code ?? 'unwritable';
		const nextStep = 'Name a file in a folder that exists and can be written.';
		return err(OperatorError.create('failed', `can't write "${file}" (${code})`, nextStep));
	}
}

/**
 * Writes the burn report in one of the formats.
 *
 * @example
 * const result = await writeReport('operator.ini', {format: 'html', out: 'burn.html', source: 'live', rowsFile: undefined});
 */
export async function writeReport(
	settingsFile: string,
	options: ReportOptions,
): Promise<CommandResult> {
	const loadRenderer = Object.hasOwn(reportFormats, options.format)
		? reportFormats[options.format]
		: undefined;
	if (loadRenderer === undefined) {
		const nextStep = `Use one of: ${Object.keys(reportFormats).join(', ')}.`;
		const message = `there is no format "${options.format}"`;
		return err(OperatorError.create('usage', message, nextStep));
	}

	const workspace = openWorkspace(settingsFile);
	if (workspace.isErr()) {
		return err(workspace.error);
	}

	const report = await computeReport(workspace.value, options);
	if (report.isErr()) {
		return err(report.error);
	}

	const renderReport = await loadRenderer();
	const text = await renderReport(report.value);
	if (options.out === undefined) {
		return ok({text, data: report.value});
	}

	const written = await writeOut(options.out, text);
	return written.map(() => ({
		text: `wrote ${options.out!}\n`,
		data: {file: options.out},
	}));
}

/**
 * Reads the counters of all daemons once and keeps them.
 *
 * @example
 * const result = await collectOnce('operator.ini');
 */
export async function collectOnce(settingsFile: string): Promise<CommandResult> {
	const workspace = openWorkspace(settingsFile);
	if (workspace.isErr()) {
		return err(workspace.error);
	}

	const collection = await collectCounters(workspace.value, Date.now());
	return collection.map(value => ({
		text: `${formatCollection(value)}\n`,
		data: {...value, reading: {...value.reading, samples: value.reading.samples.length}},
	}));
}

/**
 * Reads the counters at the interval of the settings until the process is interrupted.
 *
 * @param log - receives one line for each reading that failed in whole or part
 * @example
 * const result = await collectForever('operator.ini', process.stderr);
 */
export async function collectForever(
	settingsFile: string,
	log: {write(text: string): unknown},
): Promise<CommandResult> {
	const workspace = openWorkspace(settingsFile);
	if (workspace.isErr()) {
		return err(workspace.error);
	}

	const stopping = new AbortController();
	const stop = () => {
		stopping.abort();
	};

	process.once('SIGINT', stop);
	process.once('SIGTERM', stop);
	const intervalMs = workspace.value.settings.burn.interval_seconds * 1000;
	let readingCount = 0;
	while (!stopping.signal.aborted) {
		const collection = await collectCounters(workspace.value, Date.now());
		readingCount++;
		if (collection.isErr()) {
			log.write(`${collection.error.message}; this reading is left out\n`);
		} else if (collection.value.unanswered.length > 0) {
			log.write(`${collection.value.unanswered.join('\n')}\n`);
		}

		await waitOrStop(intervalMs, stopping.signal);
	}

	return ok({text: `${readingCount} readings\n`, data: {readingCount}});
}

/** Waits; a stop ends the wait early. */
async function waitOrStop(ms: number, signal: AbortSignal): Promise<void> {
	try {
		await wait(ms, undefined, {signal});
	} catch {
		// The wait was ended by the stop.
	}
}
