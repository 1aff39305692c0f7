/**
 * Action of the record command: verifies the audit record of the policies in force.
 */
import {err, ok, type Result} from 'neverthrow';
import {type ObjectStore} from '../../store/types.ts';
import {recordPrefix} from '../../reporting/record/batch-codec.ts';
import {
	verifyRecord,
	type RecordFinding,
	type RecordVerification,
	type StoredBatch,
} from '../../reporting/record/verify-record.ts';
import {convertPolicyError} from '../convert-error.ts';
import {OperatorError} from '../errors.ts';
import {formatTable} from '../format-table.ts';
import {createOperatorContext} from '../operator-context.ts';
import {type CommandResult} from './operator-command.ts';

/** Batches that are read from the object store at the same time. */
const maxParallelReads = 20;
const retryNextStep = 'Try again once the object store answers.';

async function readBatch(
	objects: ObjectStore,
	key: string,
): Promise<Result<StoredBatch, OperatorError>> {
	const body = await objects.get(key);
	return body
		.map(value => ({key, body: value ?? new Uint8Array()}))
		.mapErr(error => OperatorError.create('failed', error.message, retryNextStep));
}

/** Reads all batches in the order of their keys. */
async function readBatches(
	objects: ObjectStore,
): Promise<Result<readonly StoredBatch[], OperatorError>> {
	const keys = await objects.list(recordPrefix);
	if (keys.isErr()) {
		return err(OperatorError.create('failed', keys.error.message, retryNextStep));
	}

	const batches: StoredBatch[] = [];
	for (let start = 0; start < keys.value.length; start += maxParallelReads) {
		const batchKeys = keys.value.slice(start, start + maxParallelReads);
		for (const read of await Promise.all(batchKeys.map(async key => readBatch(objects, key)))) {
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

function formatVerification(verification: RecordVerification): string {
	const rows = [...verification.calls]
		.toSorted(([a], [b]) => a - b)
		.map(([version, calls]) => [String(version), String(calls)]);
	const read = `${verification.batches} batches of ${verification.instances} daemon instances, no fault found\n`;
	return read + formatTable(['version', 'calls judged'], rows);
}

/**
 * Verifies all batches of the record against the history of the policy.
 *
 * @example
 * const result = await verifyWholeRecord('operator.ini');
 */
export async function verifyWholeRecord(settingsFile: string): Promise<CommandResult> {
	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const {policies, platformClients} = context.value;
	const batches = await readBatches(platformClients.objects);
	if (batches.isErr()) {
		return err(batches.error);
	}

	// The history is read after the batches, so that it contains every version they refer to.
	const history = await policies.listHistory();
	if (history.isErr()) {
		return err(convertPolicyError(history.error));
	}

	const verification = verifyRecord(batches.value, history.value);
	if (verification.findings.length > 0) {
		const message = `the record failed verification\n${formatFindings(verification.findings)}`;
		const nextStep = 'See "The record has findings" in docs/OPERATIONS.md.';
		return err(OperatorError.create('failed', message.trimEnd(), nextStep));
	}

	return ok({
		text: formatVerification(verification),
		data: {...verification, calls: Object.fromEntries(verification.calls)},
	});
}
