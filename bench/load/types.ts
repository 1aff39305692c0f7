/**
 * Types of the load generator.
 */

/** One kind of call that the load consists of. */
export type CallKind = {
	readonly name: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly token?: string;
	readonly body?: string;
	/** Adds an idempotency key that is new with each call. */
	readonly withKey?: boolean;
	/** Calls a second. */
	readonly ratePerSecond: number;
	/** Most times that the client sends a call again after a refusal or a fault. */
	readonly clientRetries?: number;
	/** Time after which the client gives up, in milliseconds. */
	readonly timeoutMs?: number;
};

/** One ended call. Times are milliseconds since the load's start. */
export type CallSample = {
	readonly kind: string;
	/** When the call was due; latency counts from here. */
	readonly dueAtMs: number;
	readonly endedAtMs: number;
	readonly latencyMs: number;
	readonly result: 'whole' | 'shed' | 'failed';
	readonly status: number;
	readonly outcome: string;
	readonly reason: string;
	readonly version: number;
	/** Times that the client sent the call. */
	readonly sent: number;
};
