/**
 * Collects the record of one daemon and forms the batches, each with the hash of the one before.
 */
import {computeBatchHash, encodeBatch, formatBatchKey} from './batch-codec.ts';
import {type RecordEntry} from './types.ts';

export type RecordWriterOptions = {
	readonly server: string;
	readonly instanceId: string;
	/** Most entries that wait while the object store is down. */
	readonly maxEntries: number;
	/** Wall time of the daemon's start in milliseconds. */
	readonly startedAtMs: number;
};

/** A batch as it is to be stored; it stays the same until it is settled. */
export type PreparedBatch = {readonly key: string; readonly body: Uint8Array};

export class RecordWriter {
	/**
	 * @example
	 * const writer = RecordWriter.create({server, instanceId, maxEntries: 1000, startedAtMs});
	 */
	static create(options: RecordWriterOptions): RecordWriter {
		return new RecordWriter(options);
	}

	#entries: RecordEntry[] = [];
	#gap: Extract<RecordEntry, {kind: 'gap'}> | undefined;
	readonly #calls = new Map<number, number>();
	#countedSinceMs: number;
	#sequence = 1;
	#previousHash = '';
	#prepared: PreparedBatch | undefined;

	private constructor(private readonly options: RecordWriterOptions) {
		this.#countedSinceMs = options.startedAtMs;
	}

	/** Records that a version came into force. Times are wall time in milliseconds. */
	addInForce(version: number, digest: string, atMs: number): void {
		this.#add({kind: 'inForce', version, digest, atMs}, atMs);
	}

	/** Counts a call that a version judged. */
	countCall(version: number): void {
		this.#calls.set(version, (this.#calls.get(version) ?? 0) + 1);
	}

	/**
	 * Forms the next batch, or returns the one that is not settled yet: its put may have taken effect,
	 * so only the same bytes may be put again.
	 *
	 * @example
	 * const batch = writer.prepareBatch(Date.now());
	 */
	prepareBatch(nowMs: number): PreparedBatch | undefined {
		if (this.#prepared) {
			return this.#prepared;
		}

		this.#closeCounters(nowMs);
		if (this.#entries.length === 0 && this.#gap === undefined) {
			return undefined;
		}

		const {server, instanceId} = this.options;
		const header = {
			server,
			instanceId,
			sequence: this.#sequence,
			previousHash: this.#previousHash,
		};
		const entries = this.#gap ? [this.#gap, ...this.#entries] : this.#entries;
		this.#entries = [];
		this.#gap = undefined;
		this.#prepared = {key: formatBatchKey(header), body: encodeBatch({header, entries})};
		return this.#prepared;
	}

	/** Notes that the prepared batch is stored. */
	settleBatch(): void {
		if (!this.#prepared) {
			throw new Error('no record batch is prepared');
		}

		this.#previousHash = computeBatchHash(this.#prepared.body);
		this.#sequence++;
		this.#prepared = undefined;
	}

	/** Adds an entry; when the buffer is full, the oldest is lost and the loss is recorded. */
	#add(entry: RecordEntry, nowMs: number): void {
		if (this.#entries.length >= this.options.maxEntries) {
			const lost = this.#entries.shift();
			const fromMs = this.#gap?.fromMs ?? findStartMs(lost) ?? nowMs;
			const lostEntries = (this.#gap?.lostEntries ?? 0) + 1;
			this.#gap = {kind: 'gap', lostEntries, fromMs, toMs: nowMs};
		}

		this.#entries.push(entry);
	}

	#closeCounters(nowMs: number): void {
		const fromMs = this.#countedSinceMs;
		for (const [version, calls] of this.#calls) {
			this.#add({kind: 'judged', version, calls, fromMs, toMs: nowMs}, nowMs);
		}

		this.#calls.clear();
		this.#countedSinceMs = nowMs;
	}
}

function findStartMs(entry: RecordEntry | undefined): number | undefined {
	return entry?.kind === 'inForce' ? entry.atMs : entry?.fromMs;
}
