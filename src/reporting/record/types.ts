/**
 * Types of the record: which policy version was in force where and since when, and which judged the
 * calls.
 */

export type RecordEntry =
	| {
			readonly kind: 'inForce';
			readonly version: number;
			readonly digest: string;
			/** Wall time in milliseconds since 1970. */
			readonly atMs: number;
	  }
	| {
			readonly kind: 'judged';
			readonly version: number;
			readonly calls: number;
			readonly fromMs: number;
			readonly toMs: number;
	  }
	/** Entries that the buffer could not hold while the object store was down. */
	| {
			readonly kind: 'gap';
			readonly lostEntries: number;
			readonly fromMs: number;
			readonly toMs: number;
	  };

/** First line of a batch. */
export type BatchHeader = {
	readonly server: string;
	readonly instanceId: string;
	/** Consecutive for one instance, from 1. */
	readonly sequence: number;
	/** SHA-256 of the batch before; empty for the first. */
	readonly previousHash: string;
};

export type RecordBatch = {
	readonly header: BatchHeader;
	readonly entries: readonly RecordEntry[];
};
