/** What a request in the guard needs from its guard, and how it may end. */
import {type ServerEnd} from '../quarantine/server-end.ts';
import {type RefusalReason} from '../link/messages.ts';
import {type HeadCodec, type ServerAnswerHead} from '../types.ts';
import {type GuardedCall} from './guarded-call.ts';
import {type ServerConnection} from './server-connection.ts';

/** The methods of a server connection that a call needs. */
export type CallConnection = Pick<
	ServerConnection,
	'send' | 'sendChunk' | 'sendLastChunk' | 'setPaused' | 'close'
>;

/** The guard's functions that a call needs. */
export type CallOwner = {
	readonly codec: HeadCodec;
	/** Checks whether the server has ended, after a request that it may have run has failed. */
	readonly checkEnded: (digest: string) => Promise<ServerEnd>;
	/** Opens or reuses a connection to the server. */
	acquireConnection(requestId: string, isOnce: boolean): CallConnection;
	/** Time for which this process has been suspended, in milliseconds. */
	readSuspended(): number;
	/** Called with the head of the answer to a request that was sent to a server. */
	handleHead(
		head: ServerAnswerHead,
		request: {readonly serverId: string; readonly sentAtMs: number},
	): void;
	handleEnded(call: GuardedCall, outcome: CallOutcome): void;
};

/**
 * How a call ended.
 *
 * `ranMs` is the service time. `hasSent` and `mayHaveRun` are false when the server can't have run it.
 */
export type CallOutcome =
	| {readonly kind: 'answered'; readonly head: ServerAnswerHead; readonly ranMs: number}
	| {readonly kind: 'refused'; readonly reason: RefusalReason}
	| {
			readonly kind: 'failed';
			readonly reason: string;
			readonly hasSent: boolean;
			readonly serverEnd?: ServerEnd;
	  }
	| {readonly kind: 'cancelled'; readonly mayHaveRun: boolean; readonly ranMs: number};
