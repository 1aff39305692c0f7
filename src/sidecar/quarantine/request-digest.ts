/** Identifies requests that come again, by what is the same in each of them (content fingerprint). */
import {Buffer} from 'node:buffer';
import {hash} from 'node:crypto';

/** Bytes of the body that count; the rest counts by its length only. */
const maxDigestedBodyBytes = 64 * 1024;
/** Hexadecimal digits of a digest: 64 bits. */
const digestLength = 16;

export type DigestedRequest = {
	readonly method: string;
	readonly host: string;
	/** Path and query. */
	readonly path: string;
	readonly callerService: string;
	/** The whole body, or the part of it that has arrived. */
	readonly body: Uint8Array;
	/** False for a body that is too long to be buffered. */
	readonly isWhole: boolean;
};

/**
 * Computes the digest of a request. Ids, deadlines and other headers are left out, since they differ in each attempt.
 *
 * @returns 16 hexadecimal digits
 * @example
 * const digest = computeDigest({method: 'GET', host, path: '/orders/1', callerService, body, isWhole: true});
 */
export function computeDigest(request: DigestedRequest): string {
	const {method, host, path, callerService, body, isWhole} = request;
	const bodyLength = isWhole ? body.length : -1;
	const head = JSON.stringify([method, host.toLowerCase(), path, callerService, bodyLength]);
	const content =
		body.length === 0
			? head
			: Buffer.concat([Buffer.from(head), body.subarray(0, maxDigestedBodyBytes)]);
	return hash('sha256', content, 'hex').slice(0, digestLength);
}

/** Whether a value is a digest. */
export function isDigest(value: unknown): value is string {
	return typeof value === 'string' && /^[\da-f]{16}$/v.test(value);
}
