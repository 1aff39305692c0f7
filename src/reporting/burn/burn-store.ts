/**
 * Stores the rows of the readings in the object store.
 *
 * The rows of the current hour and the state of the collection are one object, so that each reading is
 * stored atomically. When the hour is over, its rows are stored twice: unmerged for short windows, and
 * merged for long ones. These writes are idempotent.
 */
import {err, ok, type Result} from 'neverthrow';
import {type ObjectStore} from '../../store/types.ts';
import {BurnError} from './errors.ts';
import {applyReading, emptyCollectionState, type CollectionState} from './counter-deltas.ts';
import {mergeRows} from './merge-rows.ts';
import {decodeCurrentHour, decodeRows, encodeRows, type CurrentHour} from './row-codec.ts';
import {type BurnRow, type CounterReading} from './types.ts';

const contentType = 'application/x-ndjson';
const hourMs = 3_600_000;
const hourTextLength = 'YYYY-MM-DDTHH'.length;

/** Number of closed hours whose unmerged rows are read; the short windows need their resolution. */
const unmergedHours = 8;

function computeHourStartMs(atMs: number): number {
	return Math.floor(atMs / hourMs) * hourMs;
}

/** Formats an hour as in object keys. */
function formatHour(atMs: number): string {
	return new Date(atMs).toISOString().slice(0, hourTextLength);
}

function getCollectionState(hour: CurrentHour | undefined): CollectionState {
	return hour === undefined
		? emptyCollectionState
		: {lastReadingMs: hour.lastReadingMs, samples: hour.samples};
}

/** Rows of one collector. Only one process at a time may add readings. */
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
	 * Stores one reading.
	 *
	 * @example
	 * const stored = await store.addReading(reading);
	 */
	async addReading(reading: CounterReading): Promise<Result<void, BurnError>> {
		const current = await this.#readCurrentHour();
		if (current.isErr()) {
			return err(current.error);
		}

		const hourStartMs = computeHourStartMs(reading.atMs);
		const hour = current.value;
		const isNewHour = hour !== undefined && hour.hourStartMs < hourStartMs;
		if (isNewHour) {
			const closed = await this.#writeClosedHour(hour);
			if (closed.isErr()) {
				return closed;
			}
		}

		const {rows, state} = applyReading(getCollectionState(hour), reading);
		const earlierRows = hour === undefined || isNewHour ? [] : hour.rows;
		return this.#write(
			'current.json',
			JSON.stringify({
				hourStartMs: Math.max(hourStartMs, hour?.hourStartMs ?? hourStartMs),
				lastReadingMs: state.lastReadingMs,
				rows: [...earlierRows, ...rows],
				samples: state.samples,
			}),
		);
	}

	/**
	 * Reads the rows since a Unix time in milliseconds.
	 *
	 * @param reading - a reading that is not stored, whose rows are added to the result
	 * @example
	 * const rows = await store.readRowsSince(Date.now() - 86_400_000);
	 */
	async readRowsSince(
		sinceMs: number,
		reading?: CounterReading,
	): Promise<Result<readonly BurnRow[], BurnError>> {
		const current = await this.#readCurrentHour();
		if (current.isErr()) {
			return err(current.error);
		}

		const rows: BurnRow[] = [...(current.value?.rows ?? [])];
		const keys = await this.#listClosedHourKeys(sinceMs, current.value?.hourStartMs);
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
			rows.push(...applyReading(getCollectionState(current.value), reading).rows);
		}

		return ok(rows);
	}

	/** Lists the objects of closed hours: unmerged rows of the last hours, merged rows of earlier ones. */
	async #listClosedHourKeys(
		sinceMs: number,
		currentStartMs: number | undefined,
	): Promise<Result<readonly string[], BurnError>> {
		const listed = await this.#objects.list(`${this.#prefix}hours/`);
		if (listed.isErr()) {
			return err(BurnError.create(`cannot list ${this.#prefix}hours/`, listed.error));
		}

		const firstHour = formatHour(sinceMs);
		const currentHour = currentStartMs === undefined ? '' : formatHour(currentStartMs);
		const firstUnmergedHour = formatHour((currentStartMs ?? 0) - unmergedHours * hourMs);
		const keys: string[] = [];
		for (const key of listed.value) {
			const hour = key.slice(`${this.#prefix}hours/`.length, -'.jsonl'.length);
			// The current hour may already be stored as closed, by an attempt that failed afterwards.
			if (hour < firstHour || hour >= currentHour) {
				continue;
			}

			keys.push(`${hour >= firstUnmergedHour ? 'minutes' : 'hours'}/${hour}.jsonl`);
		}

		return ok(keys);
	}

	/** Stores the rows of an hour that is over, unmerged and merged. */
	async #writeClosedHour(hour: CurrentHour): Promise<Result<void, BurnError>> {
		const name = `${formatHour(hour.hourStartMs)}.jsonl`;
		const minutes = await this.#write(`minutes/${name}`, encodeRows(hour.rows));
		return minutes.isErr()
			? minutes
			: this.#write(`hours/${name}`, encodeRows(mergeRows(hour.rows)));
	}

	async #readCurrentHour(): Promise<Result<CurrentHour | undefined, BurnError>> {
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
			.mapErr(error => BurnError.create(`cannot read ${this.#prefix}${name}`, error));
	}

	async #write(name: string, text: string): Promise<Result<void, BurnError>> {
		const body = new TextEncoder().encode(text);
		const written = await this.#objects.put(this.#prefix + name, body, contentType);
		return written.mapErr(error => BurnError.create(`cannot write ${this.#prefix}${name}`, error));
	}
}
