/**
 * Types of the sidecar's inputs: configuration, settings, server messages and HTTP heads.
 *
 * The adapter in `platform/` decodes the formats of the users' platform into these types.
 */

/** Whether a request may be run more than once (`repeatable`) or at most once (`once`). */
export type CallKind = 'repeatable' | 'once';

/** A service that receives a part of a route's requests. */
export type WeightedService = {
	readonly service: string;
	/** Relative to the weights of the route's other services. */
	readonly weight: number;
};

/** Defines how requests for one host and path prefix are handled. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly weightedServices: readonly WeightedService[];
	readonly callKind: CallKind;
	/** Maximum time until a caller gets an answer. */
	readonly timeoutMs: number;
	/** Latency objective: an answer within this time has its full value. */
	readonly objectiveMs: number;
	/** Maximum number of servers that one request may be sent to. */
	readonly maxAttempts: number;
	/** 0 is the highest priority. */
	readonly priority: number;
};

/** Settings of one service, the same for all its backend servers. */
export type ServiceRules = {
	readonly name: string;
	readonly healthPath: string;
	/** Maximum number of connections that one backend server accepts from all callers together. */
	readonly maxConnections: number;
};

/** Limits on the requests and connections of callers. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the operators' configuration. */
export type MeshConfig = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, ServiceRules>;
	readonly limits: CallerLimits;
	/** The text that the version was decoded from; forwarded to peers unchanged. */
	readonly source: string;
};

/** A status report of the local backend server, the one beside the sidecar. */
export type ServerReport = {
	readonly id: string;
	readonly service: string;
	readonly address: SocketAddress;
	readonly dataCentre: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Increases with each report of the same server process. */
	readonly sequence: number;
	/** Remaining warm-up time, during which the server is slow. */
	readonly warmupMs: number;
	/** Start time of the server process in Unix milliseconds; 0 if unknown. */
	readonly startedAtMs: number;
};

/** A message of the local backend server. */
export type ServerMessage =
	| {readonly kind: 'report'; readonly report: ServerReport}
	/** The server is shutting down; it may still serve requests for a short time. */
	| {readonly kind: 'leave'; readonly id: string; readonly startedAtMs: number | undefined};

/** Settings of one sidecar. */
export type SidecarSettings = {
	readonly instance: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly callerAddress: SocketAddress;
	readonly readyAddress: SocketAddress;
	readonly controlAddress: SocketAddress;
	readonly linkAddress: SocketAddress;
	readonly metricsAddress: SocketAddress;
	readonly serverAddress: SocketAddress;
	/** Service of the local backend server. */
	readonly service: string;
	readonly storeAddress: SocketAddress;
	/** How long a leaving server may receive requests after its report was acknowledged. */
	readonly drainMs: number;
	/** Time within which an acknowledged configuration has to be in force. */
	readonly configMs: number;
	/** Time between the stop signal and the kill signal. */
	readonly graceMs: number;
	/** Retries that are allowed per request, counted over the retry budget window. */
	readonly retryBudgetRatio: number;
	readonly retryBudgetWindowMs: number;
	/** Retries that are allowed per window in addition, for all sidecars together. */
	readonly retryBudgetSlack: number;
};

export type SocketAddress = {readonly host: string; readonly port: number};

/** Whether a member can receive requests. */
export type MemberState = 'ready' | 'leaving' | 'down';

/** A backend server as announced by its sidecar. */
export type Member = {
	/** Name of the sidecar's instance; each instance announces one member. */
	readonly instance: string;
	readonly link: SocketAddress;
	readonly dataCentre: string;
	readonly region: string;
	readonly service: string;
	readonly serverId: string;
	readonly slots: number;
	readonly state: MemberState;
	/** Orders the announcements of one instance: a higher epoch replaces a lower one. */
	readonly epoch: number;
	/** Start of the server, in Unix milliseconds; missing until the server has reported it. */
	readonly serverStartMs?: number | undefined;
	/** Start of the server, in Unix milliseconds, if the server itself is leaving. */
	readonly leftStartMs?: number | undefined;
	/** Start of the server, in Unix milliseconds, if another writer has named a leave of it that the server denies. */
	readonly deniedLeaveStartMs?: number | undefined;
	/** Whether only the instance stops: its guard still accepts what it can finish before its end. */
	readonly isDraining?: boolean | undefined;
};

/** Flat list of header names and values: name, value, name, value. */
export type RawHeaders = readonly string[];

/** Decoded head of a caller's request. */
export type RequestHead = {
	readonly requestId: string;
	readonly deadlineMs: number | undefined;
	/** Headers to forward, without hop-by-hop headers and those that the sidecar sets. */
	readonly headers: RawHeaders;
};

/** How many requests a second a server takes from all instances together, as named in an answer. */
export type ServerLimit =
	| {readonly kind: 'none'}
	| {readonly kind: 'named'; readonly perSecond: number}
	/** The answer names something that is no number. */
	| {readonly kind: 'invalid'};

/** What a guard knows about the limit of its server; `unknown` until the server has answered. */
export type KnownLimit =
	| {readonly kind: 'unknown'}
	| {readonly kind: 'none'}
	| {readonly kind: 'paced'; readonly perSecond: number};

/** Decoded head of a backend server's answer. */
export type ServerAnswerHead = {
	readonly requestId: string | undefined;
	readonly status: number;
	/** Whether the server states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the server states that the request was meant for another server. */
	readonly isMisdirected: boolean;
	/** Whether the server closes the connection after this answer. */
	readonly closesConnection: boolean;
	/** Whether the server says that it is leaving. */
	readonly isLeaving: boolean;
	/** How long the server keeps an idle connection open, if the answer says so. */
	readonly keepAliveMs: number | undefined;
	readonly limit: ServerLimit;
	/** Headers to forward. */
	readonly headers: RawHeaders;
};

/** Translates between HTTP heads in the format of the users' platform and the types above. */
export type HeadCodec = {
	/** Name, in lower case, of the header that holds the server's id in a health check's answer. */
	readonly serverIdHeader: string;
	decodeRequest(rawHeaders: RawHeaders): RequestHead;
	/** Encodes the head of a request to a backend server, including the final blank line. */
	encodeServerRequest(request: ServerRequestHead): string;
	/** @throws {TypeError} when the head can't belong to one answer */
	decodeAnswer(status: number, rawHeaders: RawHeaders): ServerAnswerHead;
};

/** Head of a request to a backend server before encoding. */
export type ServerRequestHead = {
	readonly method: string;
	readonly path: string;
	readonly headers: RawHeaders;
	readonly remainingMs: number;
	readonly serverId: string;
	readonly callerService: string;
	/** Length of the body; undefined for chunked transfer encoding. */
	readonly bodyBytes: number | undefined;
};
