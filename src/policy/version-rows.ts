/**
 * Rows of the platform's table that hold the policy versions.
 */
import {err, ok, type Result} from 'neverthrow';
import {type RowKey, type TableRow, type TableWrite} from '../store/types.ts';
import {computeDigest, verifyDigest} from './digest.ts';
import {PolicyError} from './errors.ts';
import {type ApplyRequest, type PolicyHead, type PolicyVersion} from './types.ts';

/** Partition of the head and of all versions. */
export const configPartition = 'config';
/** Prefix of the sort keys of versions. */
export const versionPrefix = 'version/';
/** Key of the row that names the version in force. */
export const headKey: RowKey = {partition: configPartition, sort: 'head'};
/** The head before the first apply. */
export const emptyHead: PolicyHead = {version: 0, digest: ''};

const versionDigits = 10;

/** Reads the key of a version's row. */
export function readVersionKey(version: number): RowKey {
	const sort = `${versionPrefix}${String(version).padStart(versionDigits, '0')}`;
	return {partition: configPartition, sort};
}

/** Creates the version that follows `head`. */
export function createNextVersion(
	request: ApplyRequest,
	head: PolicyHead,
	appliedAtMs: number,
): PolicyVersion {
	const {document, changeId, author} = request;
	const version = head.version + 1;
	const previousDigest = head.digest;
	const digest = computeDigest({version, changeId, previousDigest, document});
	return {version, digest, previousDigest, changeId, author, appliedAtMs, document};
}

/** Creates the transaction that puts `next` in force, on condition that `head` still is. */
export function createVersionWrites(next: PolicyVersion, head: PolicyHead): TableWrite[] {
	const {version, digest} = next;
	return [
		{
			kind: 'put',
			row: {
				...readVersionKey(version),
				revision: digest,
				body: JSON.stringify(next),
			},
			condition: {kind: 'absent'},
		},
		{
			kind: 'put',
			row: {
				...headKey,
				revision: digest,
				body: JSON.stringify({version, digest} satisfies PolicyHead),
			},
			condition: head.version === 0 ? {kind: 'absent'} : {kind: 'revision', revision: head.digest},
		},
	];
}

/** Decodes the head row. */
export function decodeHead(row: TableRow): Result<PolicyHead, PolicyError> {
	const head = parseBody(row) as Partial<PolicyHead> | undefined;
	if (typeof head?.version !== 'number' || typeof head.digest !== 'string') {
		return err(PolicyError.create({kind: 'corrupt', version: 0, detail: 'unreadable head row'}));
	}

	return ok({version: head.version, digest: head.digest});
}

/** Decodes a version's row and verifies its digest. */
export function decodeVersion(row: TableRow, version: number): Result<PolicyVersion, PolicyError> {
	const decoded = parseBody(row) as PolicyVersion | undefined;
	if (decoded?.version !== version || typeof decoded.document !== 'object') {
		return err(PolicyError.create({kind: 'corrupt', version, detail: 'unreadable row'}));
	}

	return verifyDigest(decoded)
		? ok(decoded)
		: err(PolicyError.create({kind: 'corrupt', version, detail: 'digest does not match'}));
}

/** Decodes all version rows and verifies that each follows the one before. */
export function decodeHistory(
	rows: readonly TableRow[],
): Result<readonly PolicyVersion[], PolicyError> {
	const history: PolicyVersion[] = [];
	let previousDigest = '';
	for (const row of rows) {
		const version = history.length + 1;
		const decoded = decodeVersion(row, version);
		if (decoded.isErr()) {
			return err(decoded.error);
		}

		if (decoded.value.previousDigest !== previousDigest) {
			const detail = 'does not follow the version before';
			return err(PolicyError.create({kind: 'corrupt', version, detail}));
		}

		history.push(decoded.value);
		previousDigest = decoded.value.digest;
	}

	return ok(history);
}

function parseBody(row: TableRow): unknown {
	try {
		return JSON.parse(row.body) ?? undefined;
	} catch {
		return undefined;
	}
}
