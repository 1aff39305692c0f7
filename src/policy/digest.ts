/**
 * Digest of a policy version, which chains it to the previous version.
 */
import {createHash} from 'node:crypto';
import {type PolicyVersion} from './types.ts';

/** The fields of a version that its digest covers. */
export type DigestInput = Pick<
	PolicyVersion,
	'version' | 'changeId' | 'previousDigest' | 'document'
>;

/**
 * Encodes a JSON value with sorted object keys, so that equal values have equal text.
 *
 * @example
 * encodeCanonicalJson({b: 1, a: [2]}); // '{"a":[2],"b":1}'
 */
export function encodeCanonicalJson(value: unknown): string {
	if (Array.isArray(value)) {
		const items = value.map(item => encodeCanonicalJson(item));
		return `[${items.join(',')}]`;
	}

	if (typeof value !== 'object' || value === null) {
		return JSON.stringify(value) ?? 'null';
	}

	const fields: string[] = [];
	for (const key of Object.keys(value).toSorted()) {
		const field = (value as Record<string, unknown>)[key];
		if (field !== undefined) {
			fields.push(`${JSON.stringify(key)}:${encodeCanonicalJson(field)}`);
		}
	}

	return `{${fields.join(',')}}`;
}

/**
 * Computes the SHA-256 digest of a policy version in lower-case hexadecimal.
 *
 * @example
 * const digest = computeDigest({version: 1, changeId, previousDigest: '', document});
 */
export function computeDigest(input: DigestInput): string {
	const {version, changeId, previousDigest, document} = input;
	const text = encodeCanonicalJson({version, changeId, previousDigest, document});
	return createHash('sha256').update(text).digest('hex');
}

/**
 * Checks whether the digest of a policy version matches its content.
 *
 * @example
 * if (!verifyDigest(received)) return;
 */
export function verifyDigest(version: PolicyVersion): boolean {
	return computeDigest(version) === version.digest;
}
