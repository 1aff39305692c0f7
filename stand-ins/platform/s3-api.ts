/**
 * The subset of the S3 HTTP API that the object store client uses, with path-style addresses.
 */
import {Buffer} from 'node:buffer';
import {ApiError, type Operation, type OperationAnswer} from './operation.ts';

const maxPageKeys = 1000;

type StoredObject = {readonly body: Uint8Array; readonly contentType: string};

export type S3Request = {
	readonly method: string;
	readonly url: URL;
	readonly contentType: string;
	readonly body: Uint8Array;
};

/** Encodes an answer as XML. */
function encodeXml(status: number, xml: string): OperationAnswer {
	const body = Buffer.from(`<?xml version="1.0" encoding="UTF-8"?>\n${xml}`);
	return {status, contentType: 'application/xml', body};
}

/**
 * Encodes an error in the format of the API.
 *
 * @example
 * encodeS3Error(ApiError.create(404, 'NoSuchKey', 'no such key'));
 */
export function encodeS3Error(error: ApiError): OperationAnswer {
	return encodeXml(error.status, `<Error><Code>${error.code}</Code></Error>`);
}

/** Decodes API requests into operations on one in-memory bucket. */
export class S3Api {
	/**
	 * @example
	 * const api = S3Api.create('primrosevalve');
	 */
	static create(bucket: string): S3Api {
		return new S3Api(bucket);
	}

	private readonly objects = new Map<string, StoredObject>();

	private constructor(private readonly bucket: string) {}

	/** Decodes one request; throws `ApiError` for a malformed one. */
	decode(request: S3Request): Operation {
		const [, bucket = '', ...parts] = request.url.pathname.split('/');
		if (decodeURIComponent(bucket) !== this.bucket) {
			throw ApiError.create(404, 'NoSuchBucket', `bucket "${bucket}" does not exist`);
		}

		const key = parts.map(part => decodeURIComponent(part)).join('/');
		if (key === '' && request.method === 'GET') {
			const run = () => this.listKeys(request.url.searchParams);
			return {name: 'ListObjectsV2', isWrite: false, run};
		}

		if (key !== '' && request.method === 'GET') {
			return {name: 'GetObject', isWrite: false, run: () => this.readObject(key)};
		}

		if (key !== '' && request.method === 'PUT') {
			return {name: 'PutObject', isWrite: true, run: () => this.writeObject(key, request)};
		}

		throw ApiError.create(
			405,
			'MethodNotAllowed',
			`method ${request.method} is not supported for key "${key}"`,
		);
	}

	private readObject(key: string): OperationAnswer {
		const found = this.objects.get(key);
		if (found === undefined) {
			throw ApiError.create(404, 'NoSuchKey', `object "${key}" does not exist`);
		}

		return {status: 200, ...found};
	}

	private writeObject(key: string, request: S3Request): OperationAnswer {
		this.objects.set(key, {body: request.body, contentType: request.contentType});
		return {status: 200, contentType: 'application/xml', body: new Uint8Array()};
	}

	private listKeys(query: URLSearchParams): OperationAnswer {
		if (query.get('list-type') !== '2' || query.get('encoding-type') !== 'url') {
			throw ApiError.create(
				400,
				'InvalidArgument',
				'only list-type=2&encoding-type=url is supported',
			);
		}

		const prefix = query.get('prefix') ?? '';
		const after = query.get('continuation-token') ?? '';
		const keys: string[] = [];
		for (const key of [...this.objects.keys()].toSorted()) {
			if (key.startsWith(prefix) && (after === '' || key > after)) {
				keys.push(key);
			}
		}

		const page = keys.slice(0, maxPageKeys);
		const contents = page.map(key => `<Contents><Key>${encodeURIComponent(key)}</Key></Contents>`);
		const isTruncated = keys.length > page.length;
		const token = isTruncated
			? `<NextContinuationToken>${encodeURIComponent(page.at(-1)!)}</NextContinuationToken>`
			: '';
		const truncated = `<IsTruncated>${isTruncated}</IsTruncated>`;
		return encodeXml(
			200,
			`<ListBucketResult>${truncated}${token}${contents.join('')}</ListBucketResult>`,
		);
	}
}
