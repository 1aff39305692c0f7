/** What a sidecar knows of the server beside it. */
import {type ServerReport, type SocketAddress} from '../types.ts';

/** Time between the first and a later report, at which these count as the server's own. */
export const minEstablishedMs = 1600;

/** What doesn't change between the start of a server and its end. */
export type ServerFacts = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	/** Start of the server, in Unix milliseconds; 0 until the server has reported it. */
	readonly startedAtMs: number;
};

/** Times are those of the monotonic clock. */
export type LocalServerState = ServerFacts & {
	/** Sequence of the last report with these facts; undefined before the first. */
	readonly sequence: number | undefined;
	/** First and last report with these facts. */
	readonly reportedSinceMs: number;
	readonly reportedAtMs: number;
	/** When the server last reported or answered. */
	readonly lastMessageAtMs: number;
	/** Whether the server itself has confirmed its id. */
	readonly isConfirmed: boolean;
	/** When the server's leaving was acknowledged. */
	readonly leavingSinceMs: number | undefined;
	/** Whether the server itself has said in an answer that it leaves. */
	readonly isLeaveAnswered: boolean;
	/** Whether the leave was taken from a message out of order that the server could not be asked about. */
	readonly isLeaveDoubtful: boolean;
	/** Reports since the leave in which the server says that it is ready. */
	readonly readyReportCount: number;
	/** Time for which the process had been suspended when the leave was acknowledged. */
	readonly suspendedBeforeMs: number;
	readonly isUnreachable: boolean;
};

/** Facts that differ from the known ones, and when they were first reported. */
export type RivalFacts = {readonly facts: ServerFacts; readonly sinceMs: number};

/** What a sidecar knows of its server before any message. */
export type ServerExpectation = {
	readonly address: SocketAddress;
	readonly dataCentre: string;
	/** Service of the server by the settings. */
	readService(): string;
	/** Whether the configuration in force names a service. */
	isConfigured(service: string): boolean;
};

/** What the server itself says when it is asked at its own address; the id is missing if it names none. */
export type ServerWitness =
	| {readonly kind: 'healthy'; readonly serverId: string}
	| {readonly kind: 'unhealthy'; readonly serverId: string | undefined}
	| {readonly kind: 'silent'}
	/** No configuration names the path at which to ask. */
	| {readonly kind: 'unasked'};

/** One start of a server. */
export type ServerStart = Pick<ServerFacts, 'id' | 'startedAtMs'>;

export function hasSameFacts(first: ServerFacts, second: ServerFacts): boolean {
	return (
		first.id === second.id &&
		first.service === second.service &&
		first.slots === second.slots &&
		first.startedAtMs === second.startedAtMs
	);
}

/** Whether a server has gone on to report the same facts for longer than another writer's messages are taken for. */
export function isEstablished({reportedSinceMs, reportedAtMs}: LocalServerState): boolean {
	return reportedAtMs - reportedSinceMs >= minEstablishedMs;
}

/** Reads the facts of a report. */
export function readFacts({id, service, slots, startedAtMs}: ServerReport): ServerFacts {
	return {id, service, slots, startedAtMs};
}
