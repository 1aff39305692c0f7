/**
 * Buffers the audit record entries of one daemon and encodes them as a hash chain of batches.
 */
import {computeBatchHash, encodeBatch, formatBatchKey} from './batch-codec.ts';
import {type RecordEntry} from './types.ts';

export type RecordWriterOptions = {
	readonly server: string;
	readonly instanceId: string;
	/** Maximum number of entries that are buffered, for instance while the object store is unavailable. */
	readonly maxEntries: number;
	/** Unix time of the daemon's start in milliseconds. */
	readonly startedAtMs: number;
};

/** A batch that has been encoded and is not marked as stored yet. */
export type PendingBatch = {readonly key: string; readonly body: Uint8Array};

/** Writer of the audit record of one daemon. */
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
	readonly #callCounts = new Map<number, number>();
	#countedSinceMs: number;
	#sequence = 1;
	#previousHash = '';
	#pendingBatch: PendingBatch | undefined;

	private constructor(private readonly options: RecordWriterOptions) {
		this.#countedSinceMs = options.startedAtMs;
	}

	/** Records that a policy version came into force at a Unix time in milliseconds. */
	recordPolicyInForce(version: number, digest: string, atMs: number): void {
		this.#addEntry({kind: 'inForce', version, digest, atMs}, atMs);
	}

	/** Counts a call that a policy version was applied to. */
	countCallForPolicyVersion(version: number): void {
		this.#callCounts.set(version, (this.#callCounts.get(version) ?? 0) + 1);
	}

	/**
	 * Encodes the buffered entries as the next batch. If a batch is pending, returns that one unchanged:
	 * an earlier put may have taken effect without a response, so a retry has to put the same bytes.
	 *
	 * @returns undefined if there is nothing to store
	 *
	 * @example
	 * const batch = writer.prepareBatch(Date.now());
	 */
	prepareBatch(nowMs: number): PendingBatch | undefined {
		if (this.#pendingBatch) {
			return this.#pendingBatch;
		}

		this.#addCallCountEntries(nowMs);
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
		this.#pendingBatch = {key: formatBatchKey(header), body: encodeBatch({header, entries})};
		return this.#pendingBatch;
	}

	/** Marks the pending batch as stored, so that the next one can be prepared. */
	markBatchStored(): void {
		if (!this.#pendingBatch) {
			throw new Error('no record batch is pending');
		}

		this.#previousHash = computeBatchHash(this.#pendingBatch.body);
		this.#sequence++;
		this.#pendingBatch = undefined;
	}

	/** Adds an entry. If the buffer is full, drops the oldest entry and records the loss as a gap. */
	#addEntry(entry: RecordEntry, nowMs: number): void {
		if (this.#entries.length >= this.options.maxEntries) {
			const dropped = this.#entries.shift();
			const fromMs = this.#gap?.fromMs ?? getStartMs(dropped) ?? nowMs;
			const lostEntries = (this.#gap?.lostEntries ?? 0) + 1;
			this.#gap = {kind: 'gap', lostEntries, fromMs, toMs: nowMs};
		}

		this.#entries.push(entry);
	}

	#addCallCountEntries(nowMs: number): void {
		const fromMs = this.#countedSinceMs;
		for (const [version, calls] of this.#callCounts) {
			this.#addEntry({kind: 'judged', version, calls, fromMs, toMs: nowMs}, nowMs);
		}

		this.#callCounts.clear();
		this.#countedSinceMs = nowMs;
	}
}

function getStartMs(entry: RecordEntry | undefined): number | undefined {
	return entry?.kind === 'inForce' ? entry.atMs : entry?.fromMs;
}
