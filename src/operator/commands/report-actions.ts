/**
 * Actions of the report commands.
 */
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {decodeRows} from '../../reporting/burn/row-codec.ts';
import {type BurnReport, type BurnRow} from '../../reporting/burn/types.ts';
import {OperatorError} from '../errors.ts';
import {createOperatorContext, type OperatorContext} from '../operator-context.ts';
import {
	collectCounters,
	computeBurnFromInput,
	computeBurnFromSource,
	formatReadingSummary,
	type BurnSource,
} from './burn-actions.ts';
import {type CommandResult} from './operator-command.ts';
import {reportFormats} from './report-formats.ts';

export type ReportOptions = {
	readonly format: string;
	readonly outputFile: string | undefined;
	readonly source: BurnSource;
	/** File of rows to use instead of the object store. */
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
	context: OperatorContext,
	{source, rowsFile}: ReportOptions,
): Promise<Result<BurnReport, OperatorError>> {
	if (rowsFile === undefined) {
		const computed = await computeBurnFromSource(context, source);
		return computed.map(({report}) => report);
	}

	const rows = await readRowsFile(rowsFile);
	return rows.isErr()
		? err(rows.error)
		: computeBurnFromInput(context, {kind: 'file', rows: rows.value}, Date.now());
}

async function writeReportFile(file: string, text: string): Promise<Result<void, OperatorError>> {
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
 * const result = await writeReport('operator.ini', {format: 'html', outputFile: 'burn.html', source: 'live', rowsFile: undefined});
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
		const message = `unknown format "${options.format}"`;
		return err(OperatorError.create('usage', message, nextStep));
	}

	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const report = await computeReport(context.value, options);
	if (report.isErr()) {
		return err(report.error);
	}

	const renderReport = await loadRenderer();
	const text = await renderReport(report.value);
	if (options.outputFile === undefined) {
		return ok({text, data: report.value});
	}

	const written = await writeReportFile(options.outputFile, text);
	return written.map(() => ({
		text: `wrote ${options.outputFile!}\n`,
		data: {file: options.outputFile},
	}));
}

/**
 * Reads the counters of all daemons once and stores the reading.
 *
 * @example
 * const result = await collectOnce('operator.ini');
 */
export async function collectOnce(settingsFile: string): Promise<CommandResult> {
	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const collection = await collectCounters(context.value, Date.now());
	return collection.map(value => ({
		text: `${formatReadingSummary(value)}\n`,
		data: {...value, reading: {...value.reading, samples: value.reading.samples.length}},
	}));
}

/**
 * Reads the counters at the configured interval and stores each reading, until SIGINT or SIGTERM.
 *
 * @param log - receives the error message of each failed reading, or one line for each daemon missing from a reading
 * @example
 * const result = await collectUntilInterrupted('operator.ini', process.stderr);
 */
export async function collectUntilInterrupted(
	settingsFile: string,
	log: {write(text: string): unknown},
): Promise<CommandResult> {
	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const abortController = new AbortController();
	const stop = () => {
		abortController.abort();
	};

	process.once('SIGINT', stop);
	process.once('SIGTERM', stop);
	const intervalMs = context.value.settings.burn.interval_seconds * 1000;
	let readingCount = 0;
	while (!abortController.signal.aborted) {
		const collection = await collectCounters(context.value, Date.now());
		readingCount++;
		if (collection.isErr()) {
			log.write(`${collection.error.message}; this reading is skipped\n`);
		} else if (collection.value.unanswered.length > 0) {
			log.write(`${collection.value.unanswered.join('\n')}\n`);
		}

		await waitUnlessAborted(intervalMs, abortController.signal);
	}

	return ok({text: `${readingCount} readings\n`, data: {readingCount}});
}

/** Waits for a time or until the signal is aborted, whichever comes first. */
async function waitUnlessAborted(ms: number, signal: AbortSignal): Promise<void> {
	try {
		await wait(ms, undefined, {signal});
	} catch {
		// The timer rejects when the signal is aborted.
	}
}
