/**
 * Types of the audit record of a daemon: which policy version was in force since when, and how many
 * calls it was applied to.
 */

export type RecordEntry =
	/** A policy version came into force. */
	| {
			readonly kind: 'inForce';
			readonly version: number;
			readonly digest: string;
			/** Unix time in milliseconds. */
			readonly atMs: number;
	  }
	/** Number of calls that a policy version was applied to. */
	| {
			readonly kind: 'judged';
			readonly version: number;
			readonly calls: number;
			readonly fromMs: number;
			readonly toMs: number;
	  }
	/** Entries that were dropped from the full buffer while the object store was unavailable. */
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
	/** Starts at 1 for each instance and increases by 1 with each batch. */
	readonly sequence: number;
	/** SHA-256 hash of the previous batch, in hexadecimal; empty for the first batch. */
	readonly previousHash: string;
};

export type RecordBatch = {
	readonly header: BatchHeader;
	readonly entries: readonly RecordEntry[];
};
