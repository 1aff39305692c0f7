/**
 * Adds retries and a circuit breaker to an object store client.
 */
import {ResultAsync} from 'neverthrow';
import {type PlatformError} from './errors.ts';
import {
	canRetryRead,
	defaultRequestExecutorOptions,
	RequestExecutor,
	type RequestExecutorOptions,
} from './request-executor.ts';
import {type ObjectStore} from './types.ts';

/** Object store client with retries. A put replaces the whole object, so it is always safe to retry. */
export class ResilientObjectStore implements ObjectStore {
	/**
	 * @example
	 * const objects = ResilientObjectStore.create(S3ObjectStore.create(settings));
	 */
	static create(
		inner: ObjectStore,
		options: RequestExecutorOptions = defaultRequestExecutorOptions,
	): ResilientObjectStore {
		return new ResilientObjectStore(inner, RequestExecutor.create('objects', options));
	}

	private constructor(
		private readonly inner: ObjectStore,
		/** Circuit state and request counts. */
		readonly executor: RequestExecutor,
	) {}

	put(key: string, body: Uint8Array, contentType: string): ResultAsync<void, PlatformError> {
		const send = () => this.inner.put(key, body, contentType);
		return new ResultAsync(this.executor.sendWithRetries('write', send, canRetryRead));
	}

	get(key: string): ResultAsync<Uint8Array | undefined, PlatformError> {
		const send = () => this.inner.get(key);
		return new ResultAsync(this.executor.sendWithRetries('read', send, canRetryRead));
	}

	list(prefix: string): ResultAsync<readonly string[], PlatformError> {
		const send = () => this.inner.list(prefix);
		return new ResultAsync(this.executor.sendWithRetries('read', send, canRetryRead));
	}
}
