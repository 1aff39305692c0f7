/**
 * Types of the stand-in for a backend server.
 */

/** A call that a route makes through its daemon's local port while it runs. */
export type ChildCall = {
	readonly method: string;
	readonly service: string;
	readonly path: string;
};

/** How requests of one method and path are served. */
export type Route = {
	readonly method: string;
	/** Path prefix. */
	readonly path: string;
	/** Mean service time in milliseconds, without child calls. */
	readonly serviceMs: number;
	/** Share of `serviceMs` by which the time varies in both directions, uniformly distributed. */
	readonly jitter?: number;
	/** Minimum length of the answer's body in bytes. */
	readonly bytes?: number;
	readonly calls?: readonly ChildCall[];
	/** Time in milliseconds over which the body is sent in chunks; 0 sends it at once. */
	readonly sendMs?: number;
};

export type BackendOptions = {
	readonly server: string;
	readonly port: number;
	/** Maximum number of concurrent requests; others wait in order of arrival. */
	readonly slots: number;
	readonly maxConnections: number;
	readonly seed: number;
	readonly routes: readonly Route[];
};

/** Faults and settings that can be changed while the stand-in runs. */
export type BackendBehaviour = {
	/** Local port of the daemon next to the server; 0 makes child calls fail. */
	readonly localPort: number;
	/** Multiplier of the service time. */
	readonly slowFactor: number;
	/** No request makes progress while true. */
	readonly isStalled: boolean;
	/** Share of answers that are truncated in the middle of the body. */
	readonly truncateShare: number;
	/** Load that the load page returns; undefined returns the last sample of the actual load. */
	readonly reportedLoad: number | undefined;
};

export const defaultBehaviour: BackendBehaviour = {
	localPort: 0,
	slowFactor: 1,
	isStalled: false,
	truncateShare: 0,
	reportedLoad: undefined,
};
