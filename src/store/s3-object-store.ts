/**
 * Object store client for the S3 HTTP API with path-style addresses.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result, ResultAsync} from 'neverthrow';
import {PlatformError} from './errors.ts';
import {type PlatformSettings} from './settings.ts';
import {SignedHttpClient, type SignedResponse} from './signed-http-client.ts';
import {type ObjectStore} from './types.ts';

type Operation = 'PutObject' | 'GetObject' | 'ListObjectsV2';

/**
 * Percent-encodes text for a path or a query by RFC 3986, as the request signature requires;
 * encodeURIComponent alone leaves !'()* as they are.
 */
function encodeRfc3986(text: string): string {
	return encodeURIComponent(text).replaceAll(
		/[!'\(\)*]/gv,
		character => `%${character.codePointAt(0)!.toString(16).toUpperCase()}`,
	);
}

/** Percent-encodes an object key for a path, except for its slashes. */
function encodeObjectKey(key: string): string {
	return key
		.split('/')
		.map(part => encodeRfc3986(part))
		.join('/');
}

/** Converts an unsuccessful response into an error; only a 4xx status proves that nothing was written. */
function convertErrorResponse(
	operation: Operation,
	key: string,
	response: SignedResponse,
): PlatformError {
	const detail = `status ${response.status}: ${Buffer.from(response.body).toString('utf8').slice(0, 300)}`;
	const isClientError = response.status >= 400 && response.status <= 499;
	return PlatformError.create(isClientError ? 'rejected' : 'lostAnswer', operation, key, detail);
}

/** Returns the decoded texts of all elements of one name; the request asked for URL encoding. */
function parseElementTexts(xml: string, name: string): string[] {
	const texts: string[] = [];
	for (const match of xml.matchAll(new RegExp(`<${name}>([^<]*)</${name}>`, 'gv'))) {
		texts.push(decodeURIComponent((match[1] ?? '').replaceAll('+', ' ')));
	}

	return texts;
}

/** Object store client for the S3 HTTP API. */
export class S3ObjectStore implements ObjectStore {
	/**
	 * @example
	 * const objects = S3ObjectStore.create(settings);
	 */
	static create(settings: PlatformSettings): S3ObjectStore {
		return new S3ObjectStore(
			SignedHttpClient.create('s3', settings.objectsUrl, settings),
			`/${encodeRfc3986(settings.bucket)}`,
		);
	}

	private constructor(
		private readonly http: SignedHttpClient,
		private readonly bucketPath: string,
	) {}

	put(key: string, body: Uint8Array, contentType: string): ResultAsync<void, PlatformError> {
		const operation = 'PutObject';
		return this.http
			.send({
				operation,
				key,
				method: 'PUT',
				path: `${this.bucketPath}/${encodeObjectKey(key)}`,
				headers: {'content-type': contentType},
				body,
			})
			.andThen(response =>
				response.status === 200
					? ok(undefined)
					: err(convertErrorResponse(operation, key, response)),
			);
	}

	get(key: string): ResultAsync<Uint8Array | undefined, PlatformError> {
		const operation = 'GetObject';
		return this.http
			.send({
				operation,
				key,
				method: 'GET',
				path: `${this.bucketPath}/${encodeObjectKey(key)}`,
				headers: {},
			})
			.andThen((response): Result<Uint8Array | undefined, PlatformError> => {
				switch (response.status) {
					case 200: {
						return ok(response.body);
					}

					case 404: {
						return ok(undefined);
					}

					default: {
						return err(convertErrorResponse(operation, key, response));
					}
				}
			});
	}

	list(prefix: string): ResultAsync<readonly string[], PlatformError> {
		return ResultAsync.fromSafePromise(this.listAllPages(prefix)).andThen(keys => keys);
	}

	/** Closes the connections; requests in flight fail. */
	async close(): Promise<void> {
		await this.http.close();
	}

	private async listAllPages(prefix: string): Promise<Result<readonly string[], PlatformError>> {
		const operation = 'ListObjectsV2';
		const keys: string[] = [];
		let token: string | undefined;
		do {
			const query =
				`list-type=2&encoding-type=url&prefix=${encodeRfc3986(prefix)}` +
				(token === undefined ? '' : `&continuation-token=${encodeRfc3986(token)}`);
			const path = `${this.bucketPath}?${query}`;
			const page = await this.http.send({operation, key: prefix, method: 'GET', path, headers: {}});
			if (page.isErr()) {
				return err(page.error);
			}

			if (page.value.status !== 200) {
				return err(convertErrorResponse(operation, prefix, page.value));
			}

			const xml = Buffer.from(page.value.body).toString('utf8');
			keys.push(...parseElementTexts(xml, 'Key'));
			[token] = parseElementTexts(xml, 'NextContinuationToken');
		} while (token !== undefined);

		return ok(keys);
	}
}
