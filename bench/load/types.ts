/**
 * Types of the load generator.
 */

/** One kind of call of a load. */
export type CallKind = {
	readonly name: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly token?: string;
	readonly body?: string;
	/** Sends an `idempotency-key` header, unique to each call and repeated when the call is sent again. */
	readonly hasIdempotencyKey?: boolean;
	/** Mean arrival rate in calls per second. */
	readonly ratePerSecond: number;
	/** Maximum number of times that the client sends a call again after a refusal or failure; 0 by default. */
	readonly clientRetries?: number;
	/** Client timeout of each send, in milliseconds. */
	readonly timeoutMs?: number;
};

/** Result of one call. Times are in milliseconds since the start of the load. */
export type CallSample = {
	readonly kind: string;
	/** Scheduled arrival time. Latency is measured from it, so that a late send is included. */
	readonly dueAtMs: number;
	readonly endedAtMs: number;
	readonly latencyMs: number;
	/**
	 * `whole`: answered in full with a status below 500; `shed`: refused without having run; `failed`:
	 * anything else.
	 */
	readonly result: 'whole' | 'shed' | 'failed';
	readonly status: number;
	readonly outcome: string;
	readonly reason: string;
	readonly version: number;
	/** Number of times that the client sent the call. */
	readonly sendCount: number;
};
