/**
 * Keeps counter samples in the object store, as JSON lines in one object per hour and collector.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type ObjectStore} from '../../platform/types.ts';
import {BurnError} from './errors.ts';
import {type CounterSample} from './types.ts';

const keyPrefix = 'burn/';
const contentType = 'application/x-ndjson';
const hourMs = 3_600_000;
const hourTextLength = 'YYYY-MM-DDTHH'.length;

export const counterSampleSchema = z.object({
	atMs: z.number(),
	server: z.string(),
	instanceId: z.string(),
	startedAtMs: z.number(),
	service: z.string(),
	caller: z.string(),
	total: z.number().min(0),
	good: z.number().min(0),
});

/** Formats the hour of a time as it stands in object keys. */
function formatHour(atMs: number): string {
	return new Date(atMs).toISOString().slice(0, hourTextLength);
}

/**
 * Encodes samples as JSON lines.
 *
 * @example
 * const text = encodeSamples(samples);
 */
export function encodeSamples(samples: readonly CounterSample[]): string {
	return samples.map(sample => `${JSON.stringify(sample)}\n`).join('');
}

/**
 * Decodes JSON lines into samples.
 *
 * @returns the samples, or an error that names the first malformed line
 * @example
 * const samples = decodeSamples(text);
 */
export function decodeSamples(text: string): Result<readonly CounterSample[], BurnError> {
	const samples: CounterSample[] = [];
	for (const [index, line] of text.split('\n').entries()) {
		if (line === '') {
			continue;
		}

		try {
			samples.push(counterSampleSchema.parse(JSON.parse(line)));
		} catch (error) {
			return err(BurnError.create(`sample line ${index + 1} is malformed`, error));
		}
	}

	return ok(samples);
}

/** Samples in the object store. Each collector needs a name of its own, as objects are written whole. */
export class SampleStore {
	/**
	 * @example
	 * const store = SampleStore.create(objects, 'collector-1');
	 */
	static create(objects: ObjectStore, collector: string): SampleStore {
		return new SampleStore(objects, collector);
	}

	readonly #objects: ObjectStore;
	readonly #collector: string;

	private constructor(objects: ObjectStore, collector: string) {
		this.#objects = objects;
		this.#collector = collector;
	}

	/**
	 * Adds samples that were read at one time.
	 *
	 * @example
	 * const added = await store.add(samples, Date.now());
	 */
	async add(samples: readonly CounterSample[], atMs: number): Promise<Result<void, BurnError>> {
		const key = `${keyPrefix}${formatHour(atMs)}/${encodeURIComponent(this.#collector)}.jsonl`;
		const present = await this.#objects.get(key);
		if (present.isErr()) {
			return err(BurnError.create(`reading ${key}`, present.error));
		}

		const earlier = present.value === undefined ? '' : new TextDecoder().decode(present.value);
		const body = new TextEncoder().encode(earlier + encodeSamples(samples));
		const written = await this.#objects.put(key, body, contentType);
		return written.mapErr(error => BurnError.create(`writing ${key}`, error));
	}

	/**
	 * Reads the samples of all collectors since a time; whole hours are read.
	 *
	 * @example
	 * const samples = await store.readSince(Date.now() - 86_400_000);
	 */
	async readSince(sinceMs: number): Promise<Result<readonly CounterSample[], BurnError>> {
		const keys = await this.#objects.list(keyPrefix);
		if (keys.isErr()) {
			return err(BurnError.create(`listing ${keyPrefix}`, keys.error));
		}

		// The hour before holds the reading that the first interval starts from.
		const firstKey = keyPrefix + formatHour(sinceMs - hourMs);
		const samples: CounterSample[] = [];
		for (const key of keys.value) {
			if (key < firstKey) {
				continue;
			}

			const read = await this.#readObject(key);
			if (read.isErr()) {
				return read;
			}

			samples.push(...read.value);
		}

		return ok(samples);
	}

	async #readObject(key: string): Promise<Result<readonly CounterSample[], BurnError>> {
		const body = await this.#objects.get(key);
		if (body.isErr()) {
			return err(BurnError.create(`reading ${key}`, body.error));
		}

		const text = new TextDecoder().decode(body.value ?? new Uint8Array());
		return decodeSamples(text).mapErr(error => BurnError.create(key, error));
	}
}
