/**
 * Signed HTTP exchange with one service of the platform, over a connection pool of its own.
 */
import {Buffer} from 'node:buffer';
import {AwsV4Signer} from 'aws4fetch';
import {ResultAsync} from 'neverthrow';
import {createPool, type HttpPool} from '../http/pool.ts';
import {setGlobalHeaders} from '../http/web-headers.ts';
import {PlatformError, type PlatformErrorKind} from './errors.ts';
import {type PlatformSettings} from './settings.ts';

setGlobalHeaders();

const maxConnections = 4;
const keepAliveMs = 30_000;

export type SignedService = 'dynamodb' | 's3';

export type SignedRequest = {
	/** Named in errors. */
	readonly operation: string;
	/** Row or object key, named in errors. */
	readonly key: string;
	readonly method: 'GET' | 'PUT' | 'POST';
	/** Path and query. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string | Uint8Array;
};

export type SignedAnswer = {readonly status: number; readonly body: Uint8Array};

/** Tells whether an error arose while connecting, when no byte of the request was sent. */
function isConnectError(error: unknown): boolean {
	if (error instanceof AggregateError) {
		return error.errors.length > 0 && error.errors.every(cause => isConnectError(cause));
	}

	const {code, syscall} = error as {code?: unknown; syscall?: unknown};
	return code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect';
}

/** Reads which error kind a transport failure proves. */
function readErrorKind(error: unknown): PlatformErrorKind {
	return isConnectError(error) ? 'unreachable' : 'lostAnswer';
}

/** Exchanges signed requests with one base URL. */
export class SignedHttp {
	/**
	 * @example
	 * const http = SignedHttp.create('dynamodb', settings.tableUrl, settings);
	 */
	static create(service: SignedService, baseUrl: string, settings: PlatformSettings): SignedHttp {
		const {origin} = new URL(baseUrl);
		const pool = createPool(origin, {
			connections: maxConnections,
			connectTimeout: settings.timeoutMs,
			keepAliveTimeout: keepAliveMs,
		});
		return new SignedHttp(service, origin, settings, pool);
	}

	private readonly signingKeys = new Map<string, ArrayBuffer>();

	private constructor(
		private readonly service: SignedService,
		private readonly origin: string,
		private readonly settings: PlatformSettings,
		private readonly pool: HttpPool,
	) {}

	/**
	 * Sends one request and reads the whole answer, whatever its status.
	 *
	 * @returns `unreachable` when no byte was sent, `lostAnswer` when the request may have taken effect
	 */
	send(request: SignedRequest): ResultAsync<SignedAnswer, PlatformError> {
		return ResultAsync.fromPromise(this.exchange(request), error =>
			PlatformError.create(
				readErrorKind(error),
				request.operation,
				request.key,
				error instanceof Error ? error.message : String(error),
			),
		);
	}

	/** Closes the pool at once; requests in flight fail. */
	async close(): Promise<void> {
		await this.pool.destroy();
	}

	private async exchange(request: SignedRequest): Promise<SignedAnswer> {
		const headers = await this.signHeaders(request);
		const answer = await this.pool.request({
			method: request.method,
			path: request.path,
			headers,
			body: request.body ?? null,
			signal: AbortSignal.timeout(this.settings.timeoutMs),
		});
		return {status: answer.statusCode, body: new Uint8Array(await answer.body.arrayBuffer())};
	}

	private async signHeaders(request: SignedRequest): Promise<Record<string, string>> {
		const signer = new AwsV4Signer({
			method: request.method,
			url: this.origin + request.path,
			headers: {...request.headers, 'x-amz-content-sha256': await this.computeDigest(request.body)},
			accessKeyId: this.settings.accessKeyId,
			secretAccessKey: this.settings.secretAccessKey,
			service: this.service,
			region: this.settings.awsRegion,
			cache: this.signingKeys,
		});
		const signed = await signer.sign();
		return Object.fromEntries(signed.headers);
	}

	private async computeDigest(body: string | Uint8Array | undefined): Promise<string> {
		const digest = await crypto.subtle.digest('SHA-256', Buffer.from(body ?? ''));
		return Buffer.from(digest).toString('hex');
	}
}
