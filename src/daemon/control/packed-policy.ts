/**
 * Compressed form in which daemons hand a policy version to one another.
 */
import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {type PolicyVersion} from '../../policy/types.ts';
import {ControlError} from '../errors.ts';

/** A policy version as gzip in base64. */
export type PackedPolicy = {readonly gzip: string};

/** Largest policy version that is unpacked, in bytes. */
const maxUnpackedBytes = 16_777_216;

/**
 * Packs a policy version.
 *
 * @example
 * const packed = encodePackedPolicy(version);
 */
export function encodePackedPolicy(version: PolicyVersion): PackedPolicy {
	return {gzip: gzipSync(JSON.stringify(version)).toString('base64')};
}

/**
 * Unpacks a policy version; its digest is left to be verified.
 *
 * @example
 * const version = decodePackedPolicy(answer);
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
