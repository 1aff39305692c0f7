/**
 * Compressed format in which daemons send a policy version to each other.
 */
import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {type PolicyVersion} from '../../policy/types.ts';
import {ControlError} from '../errors.ts';

/** A policy version as JSON, compressed with gzip and encoded in base64. */
export type PackedPolicy = {readonly gzip: string};

/** Limit for the size of an unpacked policy version. */
const maxUnpackedBytes = 16_777_216;

/**
 * Serializes and compresses a policy version.
 *
 * @example
 * const packed = encodePackedPolicy(version);
 */
export function encodePackedPolicy(version: PolicyVersion): PackedPolicy {
	return {gzip: gzipSync(JSON.stringify(version)).toString('base64')};
}

/**
 * Decompresses and parses a policy version. The digest isn't verified here; the caller must do that.
 *
 * @example
 * const version = decodePackedPolicy(packed);
 */
export function decodePackedPolicy(packed: PackedPolicy): Result<PolicyVersion, ControlError> {
	try {
		const bytes = gunzipSync(Buffer.from(packed.gzip, 'base64'), {
			maxOutputLength: maxUnpackedBytes,
		});
		return ok(JSON.parse(bytes.toString('utf8')) as PolicyVersion);
	} catch (error) {
		return err(ControlError.create('policy', (error as Error).message));
	}
}
