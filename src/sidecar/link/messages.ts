/** Contents of the heads of frames between sidecars. */
import {type CostVector} from '../overload/cost-table.ts';
import {type ServerEnd} from '../quarantine/server-end.ts';
import {type KnownLimit, type Member, type RawHeaders} from '../types.ts';

/**
 * A word in the body of a hello frame, which lists what the guard can do: it reports what the server has taken of a body.
 * Earlier releases send no words.
 */
export const takenFeature = 'taken';

/** Load of a guard, sent with each reply. */
export type GuardLoad = {
	/** Requests in progress at the server. */
	readonly running: number;
	/** Requests queued in the guard. */
	readonly waiting: number;
	/** Concurrency limit of the guard. */
	readonly limit: number;
	readonly pace: GuardPace;
};

/** How a guard paces the requests to a server that names a limit. */
export type GuardPace = {
	readonly limit: KnownLimit;
	/** From 0 to 1, when the next request has to wait; 0 without a limit. */
	readonly fill: number;
};

/** Head of a request that an entry sends to a guard. */
export type CallHead = {
	/** Identifies one attempt; each retry of a request has a nonce of its own. */
	readonly nonce: string;
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly headers: RawHeaders;
	/** Time left until the caller's deadline. */
	readonly remainingMs: number;
	readonly service: string;
	readonly serverId: string;
	readonly callerService: string;
	readonly route: string;
	/** Whether the request must not run twice. */
	readonly isOnce: boolean;
	readonly priority: number;
	/** Whether the frame holds the whole body; otherwise data frames follow. */
	readonly isWhole: boolean;
	/** Whether a server made the request while serving one that had been admitted before. */
	readonly isNested: boolean;
	/** Whether the request may wait at a server with a limit, since the others can't take it either. */
	readonly isPatient: boolean;
	/** Identifies requests that come again; see `quarantine/request-digest.ts`. */
	readonly digest: string;
	/** Limit of the server as its guard reported it, for a guard that has restarted since; 0 without one. */
	readonly serverLimitPerSecond: number;
};

/** Why a guard refuses a request; a refused request was not run. */
export type RefusalReason =
	| 'full'
	| 'limited'
	| 'late'
	| 'leaving'
	| 'wrongServer'
	| 'unreachable'
	| 'forgotten'
	| 'stopping'
	/** The sidecar is short of processor time and held the request for too long. */
	| 'busy'
	/** Servers have ended under such requests. */
	| 'quarantined';

/** Metadata that a guard adds to every reply. */
export type ReplyMetadata = {
	readonly load: GuardLoad;
	readonly configVersion: number;
	/** Overload reports known to the guard. */
	readonly overloadReports: readonly OverloadReport[];
	/** Slot time per request of the route, by service; sent with some replies only. */
	readonly costs: CostVector | undefined;
	/** Whether requests of the route from the entry's instance are nested calls; undefined while unknown. */
	readonly isNested: boolean | undefined;
};

/** Overload of one service, as reported `ageMs` ago. */
export type OverloadReport = {
	readonly instance: string;
	readonly service: string;
	readonly region: string;
	/** Share of the demand that the service can serve, from 0 to 1. */
	readonly openShare: number;
	/** Share of the demand that the retry budget covers while the server refuses requests at random. */
	readonly repeatableShare: number;
	readonly ageMs: number;
};

export type AnswerHead = {
	readonly status: number;
	readonly headers: RawHeaders;
	/** Whether the frame holds the whole body; otherwise data frames follow. */
	readonly isWhole: boolean;
	/** Whether the server states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the server states that it is leaving. */
	readonly isLeaving: boolean;
};

export type RefusalHead = {
	readonly reason: RefusalReason;
	/** The guard's current announcement, sent when the entry used an outdated one. */
	readonly member: Member | undefined;
};

export type FailureHead = {
	readonly reason: string;
	/** Whether the server ended while it ran the request, which may be the cause; not known to have when missing. */
	readonly serverEnd?: ServerEnd;
};

/**
 * Asks for the result of a request whose connection was lost. The route and the caller's service select the
 * metadata of the reply. Written as JSON under these names.
 */
export type ResumeHead = Pick<CallHead, 'nonce' | 'route' | 'callerService'> & {
	readonly incarnation: string;
};
