/**
 * Keeps the rows of the readings in the object store.
 *
 * The hour that goes on is one object together with the state of the collection, so that a reading is
 * kept whole or not at all. Once it is over, its rows are kept twice: as read for short windows, and
 * merged for long ones. Writing them again has no further effect.
 */
import {err, ok, type Result} from 'neverthrow';
import {type ObjectStore} from '../../store/types.ts';
import {BurnError} from './errors.ts';
import {computeStep, emptyState, type CollectionState} from './intervals.ts';
import {mergeRows} from './merge-rows.ts';
import {decodeCurrentHour, decodeRows, encodeRows, type CurrentHour} from './row-codec.ts';
import {type BurnRow, type CounterReading} from './types.ts';

const contentType = 'application/x-ndjson';
const hourMs = 3_600_000;
const hourTextLength = 'YYYY-MM-DDTHH'.length;

/** Hours whose rows are read as they were collected; windows over them need that resolution. */
const resolvedHours = 8;

function findHourStart(atMs: number): number {
	return Math.floor(atMs / hourMs) * hourMs;
}

/** Formats an hour as it stands in object keys. */
function formatHour(atMs: number): string {
	return new Date(atMs).toISOString().slice(0, hourTextLength);
}

function readState(hour: CurrentHour | undefined): CollectionState {
	return hour === undefined
		? emptyState
		: {lastReadingMs: hour.lastReadingMs, samples: hour.samples};
}

/** Rows of one collector. Only one process may add to them at a time. */
export class BurnStore {
	/**
	 * @example
	 * const store = BurnStore.create(objects, 'collector');
	 */
	static create(objects: ObjectStore, collector: string): BurnStore {
		return new BurnStore(objects, `burn/${collector}/`);
	}

	readonly #objects: ObjectStore;
	readonly #prefix: string;

	private constructor(objects: ObjectStore, prefix: string) {
		this.#objects = objects;
		this.#prefix = prefix;
	}

	/**
	 * Keeps one reading.
	 *
	 * @example
	 * const kept = await store.add(reading);
	 */
	async add(reading: CounterReading): Promise<Result<void, BurnError>> {
		const current = await this.#readCurrent();
		if (current.isErr()) {
			return err(current.error);
		}

		const hourStartMs = findHourStart(reading.atMs);
		const hour = current.value;
		const isNewHour = hour !== undefined && hour.hourStartMs < hourStartMs;
		if (isNewHour) {
			const closed = await this.#closeHour(hour);
			if (closed.isErr()) {
				return closed;
			}
		}

		const {rows, state} = computeStep(readState(hour), reading);
		const kept = hour === undefined || isNewHour ? [] : hour.rows;
		return this.#write(
			'current.json',
			JSON.stringify({
				hourStartMs: Math.max(hourStartMs, hour?.hourStartMs ?? hourStartMs),
				lastReadingMs: state.lastReadingMs,
				rows: [...kept, ...rows],
				samples: state.samples,
			}),
		);
	}

	/**
	 * Reads the rows since a time, and those that a reading made now would add.
	 *
	 * @param reading - a reading that is not kept
	 * @example
	 * const rows = await store.readSince(Date.now() - 86_400_000);
	 */
	async readSince(
		sinceMs: number,
		reading?: CounterReading,
	): Promise<Result<readonly BurnRow[], BurnError>> {
		const current = await this.#readCurrent();
		if (current.isErr()) {
			return err(current.error);
		}

		const rows: BurnRow[] = [...(current.value?.rows ?? [])];
		const keys = await this.#listHours(sinceMs, current.value?.hourStartMs);
		if (keys.isErr()) {
			return err(keys.error);
		}

		for (const key of keys.value) {
			const read = await this.#readRows(key);
			if (read.isErr()) {
				return err(read.error);
			}

			rows.push(...read.value);
		}

		if (reading !== undefined) {
			rows.push(...computeStep(readState(current.value), reading).rows);
		}

		return ok(rows);
	}

	/** Lists the objects of closed hours: merged ones, and for the last hours those as collected. */
	async #listHours(
		sinceMs: number,
		currentStartMs: number | undefined,
	): Promise<Result<readonly string[], BurnError>> {
		const listed = await this.#objects.list(`${this.#prefix}hours/`);
		if (listed.isErr()) {
			return err(BurnError.create(`listing ${this.#prefix}hours/`, listed.error));
		}

		const firstHour = formatHour(sinceMs);
		const currentHour = currentStartMs === undefined ? '' : formatHour(currentStartMs);
		const firstResolved = formatHour((currentStartMs ?? 0) - resolvedHours * hourMs);
		const keys: string[] = [];
		for (const key of listed.value) {
			const hour = key.slice(`${this.#prefix}hours/`.length, -'.jsonl'.length);
			// The hour that goes on may have been closed by an attempt that came no further.
			if (hour < firstHour || hour >= currentHour) {
				continue;
			}

			keys.push(`${hour >= firstResolved ? 'minutes' : 'hours'}/${hour}.jsonl`);
		}

		return ok(keys);
	}

	/** Keeps the rows of an hour that is over. */
	async #closeHour(hour: CurrentHour): Promise<Result<void, BurnError>> {
		const name = `${formatHour(hour.hourStartMs)}.jsonl`;
		const minutes = await this.#write(`minutes/${name}`, encodeRows(hour.rows));
		return minutes.isErr()
			? minutes
			: this.#write(`hours/${name}`, encodeRows(mergeRows(hour.rows)));
	}

	async #readCurrent(): Promise<Result<CurrentHour | undefined, BurnError>> {
		const text = await this.#readText('current.json');
		if (text.isErr()) {
			return err(text.error);
		}

		return text.value === undefined ? ok(undefined) : decodeCurrentHour(text.value);
	}

	async #readRows(name: string): Promise<Result<readonly BurnRow[], BurnError>> {
		const text = await this.#readText(name);
		return text.andThen(value =>
			decodeRows(value ?? '').mapErr(error => BurnError.create(this.#prefix + name, error)),
		);
	}

	async #readText(name: string): Promise<Result<string | undefined, BurnError>> {
		const body = await this.#objects.get(this.#prefix + name);
		return body
			.map(value => (value === undefined ? undefined : new TextDecoder().decode(value)))
			.mapErr(error => BurnError.create(`reading ${this.#prefix}${name}`, error));
	}

	async #write(name: string, text: string): Promise<Result<void, BurnError>> {
		const body = new TextEncoder().encode(text);
		const written = await this.#objects.put(this.#prefix + name, body, contentType);
		return written.mapErr(error => BurnError.create(`writing ${this.#prefix}${name}`, error));
	}
}
