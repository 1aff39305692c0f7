/** Events of a connection to the backend server. */
import {type ServerAnswerHead} from '../types.ts';
import {type ServerConnection} from './server-connection.ts';

/** Receives the events of the request on a connection. */
export type ConnectionListener = {
	handleHead(head: ServerAnswerHead): void;
	handleData(chunk: Uint8Array): void;
	/** The answer is complete. */
	handleEnd(): void;
	/** No complete answer will follow; without `hasSent` the connection was never established. */
	handleFailure(reason: string, hasSent: boolean): void;
};

/** The request that a connection carries. */
export type PendingRequest = {readonly requestId: string; readonly listener: ConnectionListener};

/** Receives the state changes of a connection; implemented by its pool. */
export type ConnectionOwner = {
	handleIdle(connection: ServerConnection): void;
	handleClosed(connection: ServerConnection): void;
};
