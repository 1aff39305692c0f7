/**
 * Object store with retries and a circuit around any other object store.
 */
import {ResultAsync} from 'neverthrow';
import {type PlatformError} from './errors.ts';
import {
	canRetryRead,
	defaultResilienceOptions,
	Resilience,
	type ResilienceOptions,
} from './resilience.ts';
import {type ObjectStore} from './types.ts';

/** Wraps an object store. A put replaces the whole object, so it may be sent again. */
export class ResilientObjects implements ObjectStore {
	/**
	 * @example
	 * const objects = ResilientObjects.create(S3Objects.create(settings));
	 */
	static create(
		inner: ObjectStore,
		options: ResilienceOptions = defaultResilienceOptions,
	): ResilientObjects {
		return new ResilientObjects(inner, Resilience.create('objects', options));
	}

	private constructor(
		private readonly inner: ObjectStore,
		/** Circuit state and usage counts. */
		readonly resilience: Resilience,
	) {}

	put(key: string, body: Uint8Array, contentType: string): ResultAsync<void, PlatformError> {
		const send = () => this.inner.put(key, body, contentType);
		return new ResultAsync(this.resilience.retry('write', send, canRetryRead));
	}

	get(key: string): ResultAsync<Uint8Array | undefined, PlatformError> {
		const send = () => this.inner.get(key);
		return new ResultAsync(this.resilience.retry('read', send, canRetryRead));
	}

	list(prefix: string): ResultAsync<readonly string[], PlatformError> {
		const send = () => this.inner.list(prefix);
		return new ResultAsync(this.resilience.retry('read', send, canRetryRead));
	}
}
