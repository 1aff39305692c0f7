/**
 * Codec for the rows of the platform's table that hold the policy versions.
 */
import {err, ok, type Result} from 'neverthrow';
import {type RowKey, type TableRow, type TableWrite} from '../store/types.ts';
import {computeDigest, verifyDigest} from './digest.ts';
import {PolicyError} from './errors.ts';
import {type ApplyRequest, type PolicyHead, type PolicyVersion} from './types.ts';

/** Partition key of the head row and of all version rows. */
export const configPartition = 'config';
/** Prefix of the sort keys of version rows. */
export const versionPrefix = 'version/';
/** Key of the row that names the version in force. */
export const headKey: RowKey = {partition: configPartition, sort: 'head'};
/** The head before the first apply. */
export const emptyHead: PolicyHead = {version: 0, digest: ''};

/** Version numbers are padded to this width, so that sort keys are in the order of versions. */
const versionDigits = 10;

/** Creates the key of a version's row. */
export function createVersionKey(version: number): RowKey {
	const sort = `${versionPrefix}${String(version).padStart(versionDigits, '0')}`;
	return {partition: configPartition, sort};
}

/** Creates the version after `head`. */
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

/** Creates the transaction that puts `next` in force, provided that `head` is still in force. */
export function createVersionWrites(next: PolicyVersion, head: PolicyHead): TableWrite[] {
	const {version, digest} = next;
	return [
		{
			kind: 'put',
			row: {
				...createVersionKey(version),
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
		return err(
			PolicyError.create({
				kind: 'corrupt',
				version: 0,
				detail: 'the head row has no valid version and digest',
			}),
		);
	}

	return ok({version: head.version, digest: head.digest});
}

/** Decodes a version's row and verifies its digest. */
export function decodeVersion(row: TableRow, version: number): Result<PolicyVersion, PolicyError> {
	const decoded = parseBody(row) as PolicyVersion | undefined;
	if (decoded?.version !== version || typeof decoded.document !== 'object') {
		return err(
			PolicyError.create({
				kind: 'corrupt',
				version,
				detail: 'the row holds no document of this version',
			}),
		);
	}

	return verifyDigest(decoded)
		? ok(decoded)
		: err(
				PolicyError.create({
					kind: 'corrupt',
					version,
					detail: 'the digest does not match the content',
				}),
			);
}

/** Decodes all version rows and verifies that each is chained to the previous one. */
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
			const detail = 'previousDigest is not the digest of the previous version';
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
