/**
 * HTTP client that signs requests (AWS Signature Version 4). Each client has its own connection pool to
 * one service of the platform.
 */
import {Buffer} from 'node:buffer';
import {AwsV4Signer} from 'aws4fetch';
import {ResultAsync} from 'neverthrow';
import {createPool, type HttpPool} from '../http/pool.ts';
import {readBodyBytes} from '../http/read-body.ts';
import {defineGlobalHeaders} from '../http/web-headers.ts';
import {PlatformError, type PlatformErrorKind} from './errors.ts';
import {type PlatformSettings} from './settings.ts';

defineGlobalHeaders();

const maxConnectionsPerService = 4;
const keepAliveMs = 30_000;
/** Longer than any object or page of a table that is written. */
const maxBodyBytes = 32 * 1024 * 1024;

export type SigningService = 'dynamodb' | 's3';

export type SignedRequest = {
	/** Name of the operation for error messages. */
	readonly operation: string;
	/** Row or object key for error messages. */
	readonly key: string;
	readonly method: 'GET' | 'PUT' | 'POST';
	/** Path and query. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string | Uint8Array;
};

export type SignedResponse = {readonly status: number; readonly body: Uint8Array};

/** Returns whether an error occurred while connecting, so that no byte of the request was sent. */
function isConnectError(error: unknown): boolean {
	if (error instanceof AggregateError) {
		return error.errors.length > 0 && error.errors.every(cause => isConnectError(cause));
	}

	const {code, syscall} = error as {code?: unknown; syscall?: unknown};
	return code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect';
}

/** Maps a transport error to an error kind. */
function classifyTransportError(error: unknown): PlatformErrorKind {
	return isConnectError(error) ? 'unreachable' : 'lostAnswer';
}

/** Sends signed requests to one origin. */
export class SignedHttpClient {
	/**
	 * @example
	 * const http = SignedHttpClient.create('dynamodb', settings.tableUrl, settings);
	 */
	static create(
		service: SigningService,
		baseUrl: string,
		settings: PlatformSettings,
	): SignedHttpClient {
		const {origin} = new URL(baseUrl);
		const pool = createPool(origin, {
			connections: maxConnectionsPerService,
			connectTimeout: settings.timeoutMs,
			keepAliveTimeout: keepAliveMs,
		});
		return new SignedHttpClient(service, origin, settings, pool);
	}

	private readonly signingKeys = new Map<string, ArrayBuffer>();

	private constructor(
		private readonly service: SigningService,
		private readonly origin: string,
		private readonly settings: PlatformSettings,
		private readonly pool: HttpPool,
	) {}

	/**
	 * Sends one request and reads the whole response, whatever its status.
	 *
	 * @returns the response; an `unreachable` error when no byte was sent, or a `lostAnswer` error when the
	 * request may have taken effect
	 */
	send(request: SignedRequest): ResultAsync<SignedResponse, PlatformError> {
		return ResultAsync.fromPromise(this.sendSigned(request), error =>
			PlatformError.create(
				classifyTransportError(error),
				request.operation,
				request.key,
				error instanceof Error ? error.message : String(error),
			),
		);
	}

	/** Closes the pool immediately; requests in flight fail. */
	async close(): Promise<void> {
		await this.pool.destroy();
	}

	private async sendSigned(request: SignedRequest): Promise<SignedResponse> {
		const headers = await this.signHeaders(request);
		const response = await this.pool.request({
			method: request.method,
			path: request.path,
			headers,
			body: request.body ?? null,
			signal: AbortSignal.timeout(this.settings.timeoutMs),
		});
		return {status: response.statusCode, body: await readBodyBytes(response.body, maxBodyBytes)};
	}

	private async signHeaders(request: SignedRequest): Promise<Record<string, string>> {
		const signer = new AwsV4Signer({
			method: request.method,
			url: this.origin + request.path,
			headers: {
				...request.headers,
				'x-amz-content-sha256': await this.computeBodySha256(request.body),
			},
			accessKeyId: this.settings.accessKeyId,
			secretAccessKey: this.settings.secretAccessKey,
			service: this.service,
			region: this.settings.awsRegion,
			cache: this.signingKeys,
		});
		const signed = await signer.sign();
		return Object.fromEntries(signed.headers);
	}

	private async computeBodySha256(body: string | Uint8Array | undefined): Promise<string> {
		const digest = await crypto.subtle.digest('SHA-256', Buffer.from(body ?? ''));
		return Buffer.from(digest).toString('hex');
	}
}
