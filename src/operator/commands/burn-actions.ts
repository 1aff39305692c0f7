/**
 * Work of the burn commands: collects counters and computes the report.
 */
import {err, ok, type Result} from 'neverthrow';
import {type Policy} from '../../policy/schema.ts';
import {type BurnError} from '../../reporting/burn/errors.ts';
import {formatBurnText} from '../../reporting/burn/format-text.ts';
import {computeBurnReport} from '../../reporting/burn/report.ts';
import {type BurnReport, type CounterSample} from '../../reporting/burn/types.ts';
import {convertPolicyError} from '../convert-error.ts';
import {OperatorError} from '../errors.ts';
import {openWorkspace, type Workspace} from '../workspace.ts';
import {type CommandResult} from './operator-command.ts';

const dayMs = 86_400_000;
/** Days that the windows of the alerts need at least. */
const minWindowDays = 4;

export type Collection = {
	readonly sampleCount: number;
	/** Daemons that did not answer, each with the reason. */
	readonly unanswered: readonly string[];
};

/** Whether counters are read before the report. */
export type BurnSource = 'collect' | 'stored';

function findLongestWindowMs(policy: Policy): number {
	const days = policy.objectives.map(objective => objective.windowDays);
	return Math.max(minWindowDays, ...days) * dayMs;
}

/**
 * Reads the counters of all daemons that can be asked and keeps them in the object store.
 *
 * @example
 * const collection = await collectCounters(workspace, Date.now());
 */
export async function collectCounters(
	workspace: Workspace,
	nowMs: number,
): Promise<Result<Collection, OperatorError>> {
	const members = await workspace.admin.readMembers();
	if (members.isErr()) {
		return err(members.error);
	}

	const samples: CounterSample[] = [];
	const unanswered: string[] = [];
	for (const {answer} of await workspace.admin.readCounters(members.value)) {
		if (answer.kind === 'failed') {
			unanswered.push(answer.detail);
			continue;
		}

		for (const counter of answer.value) {
			samples.push({atMs: nowMs, ...counter});
		}
	}

	const added = await workspace.samples.add(samples, nowMs);
	return added
		.map(() => ({sampleCount: samples.length, unanswered}))
		.mapErr(error =>
			OperatorError.create('failed', error.message, 'Try again once the object store answers.'),
		);
}

/**
 * Computes the report from kept readings and the policy in force.
 *
 * @param given - readings to use in place of those in the object store
 * @example
 * const report = await computeStoredBurn(workspace, Date.now());
 */
export async function computeStoredBurn(
	workspace: Workspace,
	nowMs: number,
	given?: readonly CounterSample[],
): Promise<Result<BurnReport, OperatorError>> {
	const {policies, samples} = workspace;
	const version = await policies.readHead().andThen(head => policies.readVersion(head.version));
	if (version.isErr()) {
		return err(convertPolicyError(version.error));
	}

	const {document} = version.value;
	const read =
		given === undefined
			? await samples.readSince(nowMs - findLongestWindowMs(document))
			: ok<readonly CounterSample[], BurnError>(given);
	return read
		.map(kept =>
			computeBurnReport({
				objectives: document.objectives,
				policyVersion: version.value.version,
				samples: kept,
				nowMs,
			}),
		)
		.mapErr(error =>
			OperatorError.create('failed', error.message, 'Try again once the object store answers.'),
		);
}

/**
 * Shows the burn report.
 *
 * @example
 * const result = await showBurn('operator.ini', 'collect');
 */
export async function showBurn(settingsFile: string, source: BurnSource): Promise<CommandResult> {
	const workspace = openWorkspace(settingsFile);
	if (workspace.isErr()) {
		return err(workspace.error);
	}

	const nowMs = Date.now();
	let remark = 'from kept readings';
	if (source === 'collect') {
		const collection = await collectCounters(workspace.value, nowMs);
		if (collection.isErr()) {
			return err(collection.error);
		}

		remark = formatCollection(collection.value);
	}

	const report = await computeStoredBurn(workspace.value, nowMs);
	return report.andThen(value => ok({text: formatBurnText(value), data: value, remark}));
}

/**
 * Formats what a collection read.
 *
 * @example
 * formatCollection({sampleCount: 12, unanswered: []}); // '12 counters read'
 */
export function formatCollection(collection: Collection): string {
	return [`${collection.sampleCount} counters read`, ...collection.unanswered].join('\n');
}
