/** What a guard needs from its sidecar. */
import {type CallHead} from '../link/messages.ts';
import {type ServerEnd} from '../quarantine/server-end.ts';
import {type RunQueue} from '../scheduling/run-queue.ts';
import {type HeadCodec, type Member} from '../types.ts';
import {type CallConnection, type CallOutcome} from './call-owner.ts';
import {type GuardedCall} from './guarded-call.ts';
import {type LocalServer} from './local-server.ts';

export type GuardEvents = {
	/** A request has arrived; `utilization` is (running + waiting) / limit, above 1 when requests wait. */
	handleArrival(head: CallHead, utilization: number): void;
	/** A request is about to be sent to the server. */
	handleStart(head: CallHead): void;
	/** A connection to the server could not be established. */
	handleUnreachable(): void;
	handleOutcome(call: GuardedCall, outcome: CallOutcome): void;
};

export type GuardOptions = {
	readonly server: LocalServer;
	readonly pool: {
		acquire(requestId: string, isOnce: boolean): CallConnection;
		closeIdleBefore(timeMs: number): void;
	};
	readonly codec: HeadCodec;
	readonly incarnation: string;
	readonly events: GuardEvents;
	/** Starts waiting requests, after further input was read when the event loop lags. */
	readonly runQueue: Pick<RunQueue, 'submit'>;
	/** Time for which this process was suspended. */
	readonly readSuspended: () => number;
	/** Checks whether the server has ended, after a request that it may have run has failed. */
	readonly checkEnded: (digest: string) => Promise<ServerEnd>;
	/** Whether requests with this digest are not to be sent to the server. */
	isQuarantined(digest: string): boolean;
	/** Reads the member record that this instance currently announces. */
	readMember(): Member | undefined;
};
