/**
 * What the sidecar knows of its surroundings, in the project's own words.
 *
 * The adapter in `platform/` decodes everything that comes from outside into these types.
 */

/** How often one request may run: `repeatable` any number of times, `once` at most once. */
export type CallKind = 'repeatable' | 'once';

/** One share of a route's traffic. */
export type RoutePart = {
	readonly service: string;
	/** Share of the route's requests, relative to the weights of the other parts. */
	readonly weight: number;
};

/** Where requests of one host and path prefix go. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly parts: readonly RoutePart[];
	readonly callKind: CallKind;
	/** Longest time that a caller may be kept waiting. */
	readonly timeoutMs: number;
	/** Time within which an answer is worth its full value. */
	readonly objectiveMs: number;
	/** Servers to which one request may be sent. */
	readonly maxAttempts: number;
	/** Rank; 0 is the most important. */
	readonly priority: number;
};

export type ServiceRules = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that one backend server accepts from all callers together. */
	readonly maxConnections: number;
};

/** Bounds on what a caller may send and how long it may take. */
export type ClientLimits = {
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
	readonly limits: ClientLimits;
	/** The bytes that the version was decoded from, handed to peers as they are. */
	readonly source: string;
};

/** What the backend server beside the sidecar says of itself. */
export type ServerReport = {
	readonly id: string;
	readonly service: string;
	readonly address: string;
	readonly dataCentre: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Grows with each report of one start of the server. */
	readonly sequence: number;
	/** How long the server stays slow after its start. */
	readonly warmupMs: number;
	/** Start of the server, in Unix milliseconds. */
	readonly bornMs: number;
};

/** A message of the local backend server. */
export type ServerMessage =
	| {readonly kind: 'report'; readonly report: ServerReport}
	/** The server ends; it may serve a little longer. */
	| {readonly kind: 'leave'; readonly id: string; readonly bornMs: number | undefined};

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
	/** Service of the backend server beside the sidecar. */
	readonly service: string;
	readonly storeAddress: SocketAddress;
	/** Time for which a leaving server may get work after its report was acknowledged. */
	readonly drainMs: number;
	/** Time from the stop signal to the kill. */
	readonly graceMs: number;
	readonly retryRatio: number;
	readonly retryWindowMs: number;
	readonly retrySlack: number;
};

export type SocketAddress = {readonly host: string; readonly port: number};

/** Whether a member of a service can take work. */
export type MemberState = 'ready' | 'leaving' | 'down';

/** One backend server as its sidecar announces it. */
export type Member = {
	/** Name of the sidecar's instance; one member an instance. */
	readonly instance: string;
	readonly link: SocketAddress;
	readonly dataCentre: string;
	readonly region: string;
	readonly service: string;
	readonly serverId: string;
	readonly slots: number;
	readonly state: MemberState;
	/** Order of announcements of one instance: a later one replaces an earlier one. */
	readonly epoch: number;
};

/** Raw header list: name, value, name, value. */
export type RawHeaders = readonly string[];

/** A caller's request as the entry sees it after decoding. */
export type RequestHead = {
	readonly requestId: string;
	readonly deadlineMs: number | undefined;
	/** Headers to forward, without those that concern one connection or that the system sets. */
	readonly headers: RawHeaders;
};

/** A backend server's answer after decoding. */
export type ServerAnswerHead = {
	readonly requestId: string | undefined;
	readonly status: number;
	/** Whether the server states that the request was not run. */
	readonly isNotRun: boolean;
	/** Whether the server states that it is another one than expected. */
	readonly isMisdirected: boolean;
	readonly closes: boolean;
	/** How long the server keeps the connection when idle, if it says so. */
	readonly keepAliveMs: number | undefined;
	/** Headers to forward. */
	readonly headers: RawHeaders;
};

/** Translates heads between the users' wire and the types above. */
export type HeadCodec = {
	/** Header of a health answer in which the server names itself, in lower case. */
	readonly serverIdHeader: string;
	decodeRequest(rawHeaders: RawHeaders): RequestHead;
	/** Encodes the head of a request to a backend server, the blank line included. */
	encodeServerRequest(request: ServerRequestHead): string;
	decodeAnswer(status: number, rawHeaders: RawHeaders): ServerAnswerHead;
};

export type ServerRequestHead = {
	readonly method: string;
	readonly path: string;
	readonly headers: RawHeaders;
	readonly remainingMs: number;
	readonly serverId: string;
	readonly callerService: string;
	/** Length of the body; undefined sends it in chunks. */
	readonly bodyBytes: number | undefined;
};
