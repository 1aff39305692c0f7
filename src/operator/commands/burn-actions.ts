/**
 * Work of the burn commands: collects counters and computes the report.
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
import {openWorkspace, type Workspace} from '../workspace.ts';
import {type CommandResult} from './operator-command.ts';

const dayMs = 86_400_000;
/** Days that the windows of the alerts need at least. */
const minWindowDays = 4;

export type Collection = {
	readonly reading: CounterReading;
	/** Daemons that did not answer, each with the reason. */
	readonly unanswered: readonly string[];
};

/** Whether the daemons are asked besides what is kept. */
export type BurnSource = 'live' | 'kept';

/** What a report is computed from. */
export type BurnInput =
	| {readonly kind: 'kept'}
	| {readonly kind: 'live'; readonly reading: CounterReading}
	/** Rows of a file, in place of those in the object store. */
	| {readonly kind: 'file'; readonly rows: readonly BurnRow[]};

function findLongestWindowMs(policy: Policy): number {
	const days = policy.objectives.map(objective => objective.windowDays);
	return Math.max(minWindowDays, ...days) * dayMs;
}

function convertBurnError(error: BurnError): OperatorError {
	return OperatorError.create('failed', error.message, 'Try again once the object store answers.');
}

/**
 * Reads the counters of all daemons that can be asked.
 *
 * @example
 * const collection = await readCounters(workspace, Date.now());
 */
export async function readCounters(
	workspace: Workspace,
	nowMs: number,
): Promise<Result<Collection, OperatorError>> {
	const members = await workspace.admin.readMembers();
	if (members.isErr()) {
		return err(members.error);
	}

	const samples: CounterSample[] = [];
	const unanswered: string[] = [];
	let answered = 0;
	for (const {answer} of await workspace.admin.readCounters(members.value)) {
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
 * Reads the counters of all daemons that can be asked and keeps the reading.
 *
 * @example
 * const collection = await collectCounters(workspace, Date.now());
 */
export async function collectCounters(
	workspace: Workspace,
	nowMs: number,
): Promise<Result<Collection, OperatorError>> {
	const collection = await readCounters(workspace, nowMs);
	if (collection.isErr()) {
		return collection;
	}

	const kept = await workspace.burn.add(collection.value.reading);
	return kept.map(() => collection.value).mapErr(error => convertBurnError(error));
}

async function readRows(
	workspace: Workspace,
	input: BurnInput,
	sinceMs: number,
): Promise<Result<readonly BurnRow[], BurnError>> {
	switch (input.kind) {
		case 'kept': {
			return workspace.burn.readSince(sinceMs);
		}

		case 'live': {
			return workspace.burn.readSince(sinceMs, input.reading);
		}

		case 'file': {
			return ok(input.rows);
		}
	}
}

/**
 * Computes the report for the objectives of the policy in force.
 *
 * @example
 * const report = await computeBurn(workspace, {kind: 'kept'}, Date.now());
 */
export async function computeBurn(
	workspace: Workspace,
	input: BurnInput,
	nowMs: number,
): Promise<Result<BurnReport, OperatorError>> {
	const {policies} = workspace;
	const found = await policies.readHead().andThen(head => policies.readVersion(head.version));
	if (found.isErr()) {
		return err(convertPolicyError(found.error));
	}

	const {document, version} = found.value;
	const read = await readRows(workspace, input, nowMs - findLongestWindowMs(document));
	return read
		.map(rows =>
			computeBurnReport({objectives: document.objectives, policyVersion: version, rows, nowMs}),
		)
		.mapErr(error => convertBurnError(error));
}

/** Report and a remark on the reading that it rests on. */
export type RemarkedReport = {readonly report: BurnReport; readonly remark: string};

/**
 * Computes the report from kept readings and, if asked for, one made now.
 *
 * @example
 * const report = await computeBurnFrom(workspace, 'live');
 */
export async function computeBurnFrom(
	workspace: Workspace,
	source: BurnSource,
): Promise<Result<RemarkedReport, OperatorError>> {
	const nowMs = Date.now();
	if (source === 'kept') {
		const report = await computeBurn(workspace, {kind: 'kept'}, nowMs);
		return report.map(value => ({report: value, remark: 'from kept readings'}));
	}

	const collection = await readCounters(workspace, nowMs);
	if (collection.isErr()) {
		const {kind, message, nextStep} = collection.error;
		const nextSteps = `${nextStep} With --kept the report needs no daemon.`;
		return err(OperatorError.create(kind, message, nextSteps));
	}

	const {reading} = collection.value;
	const report = await computeBurn(workspace, {kind: 'live', reading}, nowMs);
	return report.map(value => ({report: value, remark: formatCollection(collection.value)}));
}

/**
 * Shows the burn report.
 *
 * @example
 * const result = await showBurn('operator.ini', 'live');
 */
export async function showBurn(settingsFile: string, source: BurnSource): Promise<CommandResult> {
	const workspace = openWorkspace(settingsFile);
	if (workspace.isErr()) {
		return err(workspace.error);
	}

	const computed = await computeBurnFrom(workspace.value, source);
	return computed.map(({report, remark}) => ({
		text: formatBurnText(report),
		data: report,
		remark,
	}));
}

/**
 * Formats what a reading reached.
 *
 * @example
 * formatCollection(collection); // '12 counters of 6 daemons read'
 */
export function formatCollection({reading, unanswered}: Collection): string {
	const read = `${reading.samples.length} counters of ${reading.answered} daemons read`;
	return [read, ...unanswered].join('\n');
}
