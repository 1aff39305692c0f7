/**
 * Fingerprint of a request, which distinguishes a repeated request from a different one with the same
 * idempotency key.
 */
import {createHash} from 'node:crypto';

/**
 * Computes the SHA-256 of method, path with query, and body, in hexadecimal.
 *
 * @example
 * computeFingerprint('POST', '/orders', body);
 */
export function computeFingerprint(method: string, path: string, body: Uint8Array): string {
	const hash = createHash('sha256');
	hash.update(JSON.stringify([method, path]));
	hash.update(body);
	return hash.digest('hex');
}
