/**
 * Work of the record commands.
 */
import {err, ok, type Result} from 'neverthrow';
import {type ObjectStore} from '../../store/types.ts';
import {recordPrefix} from '../../reporting/record/batch-codec.ts';
import {
	verifyRecord,
	type RecordFinding,
	type RecordVerdict,
	type StoredBatch,
} from '../../reporting/record/verify-record.ts';
import {convertPolicyError} from '../convert-error.ts';
import {OperatorError} from '../errors.ts';
import {formatTable} from '../table.ts';
import {openWorkspace} from '../workspace.ts';
import {type CommandResult} from './operator-command.ts';

/** Batches read at the same time. */
const maxParallelReads = 20;
const retryStep = 'Try again once the object store answers.';

async function readBatch(
	objects: ObjectStore,
	key: string,
): Promise<Result<StoredBatch, OperatorError>> {
	const body = await objects.get(key);
	return body
		.map(value => ({key, body: value ?? new Uint8Array()}))
		.mapErr(error => OperatorError.create('failed', error.message, retryStep));
}

/** Reads all batches in order of their keys. */
async function readBatches(
	objects: ObjectStore,
): Promise<Result<readonly StoredBatch[], OperatorError>> {
	const keys = await objects.list(recordPrefix);
	if (keys.isErr()) {
		return err(OperatorError.create('failed', keys.error.message, retryStep));
	}

	const batches: StoredBatch[] = [];
	for (let start = 0; start < keys.value.length; start += maxParallelReads) {
		const part = keys.value.slice(start, start + maxParallelReads);
		for (const read of await Promise.all(part.map(async key => readBatch(objects, key)))) {
			if (read.isErr()) {
				return err(read.error);
			}

			batches.push(read.value);
		}
	}

	return ok(batches);
}

function formatFindings(findings: readonly RecordFinding[]): string {
	const rows = findings.map(({kind, key, detail}) => [kind, key, detail]);
	return formatTable(['finding', 'batch', 'detail'], rows);
}

function formatVerdict(verdict: RecordVerdict): string {
	const rows = [...verdict.calls]
		.toSorted(([a], [b]) => a - b)
		.map(([version, calls]) => [String(version), String(calls)]);
	const read = `${verdict.batches} batches of ${verdict.instances} daemon instances, no fault found\n`;
	return read + formatTable(['version', 'calls judged'], rows);
}

/**
 * Verifies the whole record against the history of the policy.
 *
 * @example
 * const result = await verifyWholeRecord('operator.ini');
 */
export async function verifyWholeRecord(settingsFile: string): Promise<CommandResult> {
	const workspace = openWorkspace(settingsFile);
	if (workspace.isErr()) {
		return err(workspace.error);
	}

	const {policies, platform} = workspace.value;
	const batches = await readBatches(platform.objects);
	if (batches.isErr()) {
		return err(batches.error);
	}

	// The history is read after the batches, so that it holds every version that they name.
	const history = await policies.listHistory();
	if (history.isErr()) {
		return err(convertPolicyError(history.error));
	}

	const verdict = verifyRecord(batches.value, history.value);
	if (verdict.findings.length > 0) {
		const message = `the record does not prove the policy in force\n${formatFindings(verdict.findings)}`;
		const nextStep = 'See "The record has findings" in docs/OPERATIONS.md.';
		return err(OperatorError.create('failed', message.trimEnd(), nextStep));
	}

	return ok({
		text: formatVerdict(verdict),
		data: {...verdict, calls: Object.fromEntries(verdict.calls)},
	});
}
