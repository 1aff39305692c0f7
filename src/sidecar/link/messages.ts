/** What the heads of the frames between sidecars say. */
import {type CostVector} from '../overload/cost-book.ts';
import {type Member, type RawHeaders} from '../types.ts';

/** How busy a guard is, as it says on each reply. */
export type GuardLoad = {
	/** Requests at the server. */
	readonly running: number;
	/** Requests that wait in the guard. */
	readonly waiting: number;
	/** Requests that the guard lets run at a time. */
	readonly limit: number;
};

/** A request on its way from an entry to a guard. */
export type CallHead = {
	/** Names one send of ours; a request that is sent twice has two. */
	readonly nonce: string;
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly headers: RawHeaders;
	readonly remainingMs: number;
	readonly service: string;
	readonly serverId: string;
	readonly callerService: string;
	readonly route: string;
	readonly isOnce: boolean;
	readonly priority: number;
	/** Whether the frame holds the whole body; otherwise data frames follow. */
	readonly isWhole: boolean;
	/** Whether a server made the request, for work that was admitted before. */
	readonly isInner: boolean;
};

/** Why a guard refuses a request that it has not run. */
export type RefusalReason =
	'full' | 'late' | 'leaving' | 'wrongServer' | 'unreachable' | 'forgotten' | 'stopping';

/** What every reply of a guard tells besides. */
export type ReplyNews = {
	readonly load: GuardLoad;
	readonly configVersion: number;
	/** Overload of services as the guard knows it. */
	readonly pressure: readonly PressureNews[];
	/** Slot time that one request of the route costs, by service; on some replies only. */
	readonly costs: CostVector | undefined;
	/** Whether such requests from the entry's instance are calls of the server there, as far as known. */
	readonly isInner: boolean | undefined;
};

/** Overload of one service, as heard some time ago. */
export type PressureNews = {
	readonly instance: string;
	readonly service: string;
	readonly region: string;
	/** Share of the demand that the service can take; 1 when it takes all. */
	readonly openShare: number;
	/** Share of the demand for which repeats suffice, while the server refuses requests at random. */
	readonly repeatableShare: number;
	readonly ageMs: number;
};

export type AnswerHead = {
	readonly status: number;
	readonly headers: RawHeaders;
	/** Whether the frame holds the whole body; otherwise data frames follow. */
	readonly isWhole: boolean;
	/** Whether the server says that the request was not run. */
	readonly isNotRun: boolean;
};

export type RefusalHead = {
	readonly reason: RefusalReason;
	/** The guard's present announcement, where the refusal comes from an outdated view. */
	readonly member: Member | undefined;
};

export type FailureHead = {
	readonly reason: string;
};

/** Asks what became of a request; the rest is what news for its answer depend on. */
export type ResumeHead = Pick<CallHead, 'nonce' | 'route' | 'callerService'> & {
	readonly incarnation: string;
};
