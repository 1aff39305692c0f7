/**
 * Verification of AWS Signature Version 4, so that tests detect signing errors in the clients.
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {AwsV4Signer} from 'aws4fetch';
import {ApiError} from './operation.ts';

export type Credentials = {readonly accessKeyId: string; readonly secretAccessKey: string};

export type ReceivedRequest = {
	readonly method: string;
	readonly url: URL;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

const signingKeys = new Map<string, ArrayBuffer>();

/** Returns a header as text; empty when it is missing or repeated. */
function readHeader(headers: IncomingHttpHeaders, name: string): string {
	const value = headers[name];
	return typeof value === 'string' ? value : '';
}

/** Throws the API error for a request without a valid signature. */
function rejectSignature(message: string): never {
	throw ApiError.create(403, 'InvalidSignatureException', message);
}

/**
 * Verifies the signature and body digest of a request; throws `ApiError` when either is invalid.
 *
 * @returns the AWS service that the request was signed for
 * @example
 * const service = await verifySignature(request, {accessKeyId: 'standin', secretAccessKey: 'standin'});
 */
export async function verifySignature(
	request: ReceivedRequest,
	credentials: Credentials,
): Promise<string> {
	const given = readHeader(request.headers, 'authorization');
	const match =
		/^AWS4-HMAC-SHA256 Credential=([^\/]+)\/\d{8}\/([^\/]+)\/([^\/]+)\/aws4_request, SignedHeaders=([^,]+), Signature=[\da-f]{64}$/v.exec(
			given,
		);
	if (match?.[1] !== credentials.accessKeyId) {
		rejectSignature('access key id is missing or unknown');
	}

	const [region = '', service = '', signedHeaders = ''] = match.slice(2);
	const digest = await crypto.subtle.digest('SHA-256', Buffer.from(request.body));
	if (Buffer.from(digest).toString('hex') !== readHeader(request.headers, 'x-amz-content-sha256')) {
		rejectSignature('x-amz-content-sha256 does not match the SHA-256 digest of the body');
	}

	const headers: Record<string, string> = {};
	for (const name of signedHeaders.split(';')) {
		headers[name] = readHeader(request.headers, name);
	}

	const signer = new AwsV4Signer({
		method: request.method,
		url: request.url.href,
		headers,
		...credentials,
		service,
		region,
		datetime: readHeader(request.headers, 'x-amz-date'),
		cache: signingKeys,
	});
	const expected = await signer.authHeader();
	if (expected !== given) {
		rejectSignature('signature does not match the request');
	}

	return service;
}
