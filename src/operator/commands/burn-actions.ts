/**
 * Actions of the burn commands: read the daemons' counters and compute the burn report.
 */
import {err, ok, type Result} from 'neverthrow';
import {type Policy} from '../../policy/schema.ts';
import {type BurnError} from '../../reporting/burn/errors.ts';
import {formatBurnText} from '../../reporting/burn/format-text.ts';
import {computeBurnReport} from '../../reporting/burn/report.ts';
import {
	type BurnReport,
	type BurnRow,
	type CounterReading,
	type CounterSample,
} from '../../reporting/burn/types.ts';
import {convertPolicyError} from '../convert-error.ts';
import {OperatorError} from '../errors.ts';
import {createOperatorContext, type OperatorContext} from '../operator-context.ts';
import {type CommandResult} from './operator-command.ts';

const dayMs = 86_400_000;
/** Days of stored rows that the alert windows need, also when each objective's own window is shorter. */
const minWindowDays = 4;

/** A reading of the daemons' counters and the errors of the daemons that are missing from it. */
export type CollectedReading = {
	readonly reading: CounterReading;
	/** Error messages of the daemons whose counters could not be read. */
	readonly unanswered: readonly string[];
};

/** `kept` uses the stored readings only; `live` adds one made now, which is not stored. */
export type BurnSource = 'live' | 'kept';

/** Rows that a report is computed from. */
export type BurnInput =
	| {readonly kind: 'kept'}
	| {readonly kind: 'live'; readonly reading: CounterReading}
	/** Rows read from a file instead of the object store. */
	| {readonly kind: 'file'; readonly rows: readonly BurnRow[]};

/** Returns how far back rows must be read, in milliseconds. */
function findLongestWindowMs(policy: Policy): number {
	const days = policy.objectives.map(objective => objective.windowDays);
	return Math.max(minWindowDays, ...days) * dayMs;
}

function convertBurnError(error: BurnError): OperatorError {
	return OperatorError.create('failed', error.message, 'Try again once the object store answers.');
}

/**
 * Reads the counters of all daemons with a known administration port.
 *
 * @example
 * const collection = await readCounters(context, Date.now());
 */
export async function readCounters(
	context: OperatorContext,
	nowMs: number,
): Promise<Result<CollectedReading, OperatorError>> {
	const members = await context.admin.readMembers();
	if (members.isErr()) {
		return err(members.error);
	}

	const samples: CounterSample[] = [];
	const unanswered: string[] = [];
	let answered = 0;
	for (const {answer} of await context.admin.readCounters(members.value)) {
		if (answer.kind === 'failed') {
			unanswered.push(answer.detail);
			continue;
		}

		answered++;
		for (const counter of answer.value) {
			samples.push({atMs: nowMs, ...counter});
		}
	}

	const known = members.value.length;
	const reading = {atMs: nowMs, known, answered: Math.min(answered, known), samples};
	return ok({reading, unanswered});
}

/**
 * Reads the counters of all daemons with a known administration port and adds the reading to the burn store.
 *
 * @example
 * const collection = await collectCounters(context, Date.now());
 */
export async function collectCounters(
	context: OperatorContext,
	nowMs: number,
): Promise<Result<CollectedReading, OperatorError>> {
	const collection = await readCounters(context, nowMs);
	if (collection.isErr()) {
		return collection;
	}

	const stored = await context.burnStore.addReading(collection.value.reading);
	return stored.map(() => collection.value).mapErr(error => convertBurnError(error));
}

async function readRows(
	context: OperatorContext,
	input: BurnInput,
	sinceMs: number,
): Promise<Result<readonly BurnRow[], BurnError>> {
	switch (input.kind) {
		case 'kept': {
			return context.burnStore.readRowsSince(sinceMs);
		}

		case 'live': {
			return context.burnStore.readRowsSince(sinceMs, input.reading);
		}

		case 'file': {
			return ok(input.rows);
		}
	}
}

/**
 * Computes the report for the objectives of the policy in force from the given rows.
 *
 * @example
 * const report = await computeBurnFromInput(context, {kind: 'kept'}, Date.now());
 */
export async function computeBurnFromInput(
	context: OperatorContext,
	input: BurnInput,
	nowMs: number,
): Promise<Result<BurnReport, OperatorError>> {
	const {policies} = context;
	const found = await policies.readHead().andThen(head => policies.readVersion(head.version));
	if (found.isErr()) {
		return err(convertPolicyError(found.error));
	}

	const {document, version} = found.value;
	const read = await readRows(context, input, nowMs - findLongestWindowMs(document));
	return read
		.map(rows =>
			computeBurnReport({objectives: document.objectives, policyVersion: version, rows, nowMs}),
		)
		.mapErr(error => convertBurnError(error));
}

/** A report and a remark on the readings that it is based on. */
export type ReportWithRemark = {readonly report: BurnReport; readonly remark: string};

/**
 * Computes the report from the stored readings and, for `live`, one made now.
 *
 * @example
 * const report = await computeBurnFromSource(context, 'live');
 */
export async function computeBurnFromSource(
	context: OperatorContext,
	source: BurnSource,
): Promise<Result<ReportWithRemark, OperatorError>> {
	const nowMs = Date.now();
	if (source === 'kept') {
		const report = await computeBurnFromInput(context, {kind: 'kept'}, nowMs);
		return report.map(value => ({report: value, remark: 'from kept readings'}));
	}

	const collection = await readCounters(context, nowMs);
	if (collection.isErr()) {
		const {kind, message, nextStep} = collection.error;
		const extendedNextStep = `${nextStep} With --kept the report needs no daemon.`;
		return err(OperatorError.create(kind, message, extendedNextStep));
	}

	const {reading} = collection.value;
	const report = await computeBurnFromInput(context, {kind: 'live', reading}, nowMs);
	return report.map(value => ({report: value, remark: formatReadingSummary(collection.value)}));
}

/**
 * Shows the burn report.
 *
 * @example
 * const result = await showBurn('operator.ini', 'live');
 */
export async function showBurn(settingsFile: string, source: BurnSource): Promise<CommandResult> {
	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const computed = await computeBurnFromSource(context.value, source);
	return computed.map(({report, remark}) => ({
		text: formatBurnText(report),
		data: report,
		remark,
	}));
}

/**
 * Formats how many counters and daemons were read, and one line for each daemon that failed.
 *
 * @example
 * formatReadingSummary(collection); // '12 counters of 6 daemons read'
 */
export function formatReadingSummary({reading, unanswered}: CollectedReading): string {
	const read = `${reading.samples.length} counters of ${reading.answered} daemons read`;
	return [read, ...unanswered].join('\n');
}
