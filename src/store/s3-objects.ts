/**
 * Adapter of the object port to the S3 HTTP API with path-style addresses.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result, ResultAsync} from 'neverthrow';
import {PlatformError} from './errors.ts';
import {type PlatformSettings} from './settings.ts';
import {SignedHttp, type SignedAnswer} from './signed-http.ts';
import {type ObjectStore} from './types.ts';

type Operation = 'PutObject' | 'GetObject' | 'ListObjectsV2';

/** Encodes text for a path or a query as the signature wants it. */
function encodeText(text: string): string {
	return encodeURIComponent(text).replaceAll(
		/[!'\(\)*]/gv,
		character => `%${character.codePointAt(0)!.toString(16).toUpperCase()}`,
	);
}

/** Encodes an object key for a path; slashes stay. */
function encodeObjectKey(key: string): string {
	return key
		.split('/')
		.map(part => encodeText(part))
		.join('/');
}

/** Turns an answer that is not a success into an error of this layer. */
function convertFailure(operation: Operation, key: string, answer: SignedAnswer): PlatformError {
	const detail = `status ${answer.status}: ${Buffer.from(answer.body).toString('utf8').slice(0, 300)}`;
	const isRefusal = answer.status >= 400 && answer.status <= 499;
	return PlatformError.create(isRefusal ? 'rejected' : 'lostAnswer', operation, key, detail);
}

/** Lists the texts of one element of an answer, which was asked for in URL encoding. */
function listElements(xml: string, name: string): string[] {
	const texts: string[] = [];
	for (const match of xml.matchAll(new RegExp(`<${name}>([^<]*)</${name}>`, 'gv'))) {
		texts.push(decodeURIComponent((match[1] ?? '').replaceAll('+', ' ')));
	}

	return texts;
}

/** Object port over the S3 HTTP API. */
export class S3Objects implements ObjectStore {
	/**
	 * @example
	 * const objects = S3Objects.create(settings);
	 */
	static create(settings: PlatformSettings): S3Objects {
		return new S3Objects(
			SignedHttp.create('s3', settings.objectsUrl, settings),
			`/${encodeText(settings.bucket)}`,
		);
	}

	private constructor(
		private readonly http: SignedHttp,
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
			.andThen(answer =>
				answer.status === 200 ? ok(undefined) : err(convertFailure(operation, key, answer)),
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
			.andThen((answer): Result<Uint8Array | undefined, PlatformError> => {
				switch (answer.status) {
					case 200: {
						return ok(answer.body);
					}

					case 404: {
						return ok(undefined);
					}

					default: {
						return err(convertFailure(operation, key, answer));
					}
				}
			});
	}

	list(prefix: string): ResultAsync<readonly string[], PlatformError> {
		return ResultAsync.fromSafePromise(this.readPages(prefix)).andThen(keys => keys);
	}

	/** Closes the connections; requests in flight fail. */
	async close(): Promise<void> {
		await this.http.close();
	}

	private async readPages(prefix: string): Promise<Result<readonly string[], PlatformError>> {
		const operation = 'ListObjectsV2';
		const keys: string[] = [];
		let token: string | undefined;
		do {
			const query =
				`list-type=2&encoding-type=url&prefix=${encodeText(prefix)}` +
				(token === undefined ? '' : `&continuation-token=${encodeText(token)}`);
			const path = `${this.bucketPath}?${query}`;
			const page = await this.http.send({operation, key: prefix, method: 'GET', path, headers: {}});
			if (page.isErr()) {
				return err(page.error);
			}

			if (page.value.status !== 200) {
				return err(convertFailure(operation, prefix, page.value));
			}

			const xml = Buffer.from(page.value.body).toString('utf8');
			keys.push(...listElements(xml, 'Key'));
			[token] = listElements(xml, 'NextContinuationToken');
		} while (token !== undefined);

		return ok(keys);
	}
}
