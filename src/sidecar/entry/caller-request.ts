/** A caller's request. */
import type http from 'node:http';
import {type CallerLimits, type RequestHead} from '../types.ts';

export type CallerRequest = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly head: RequestHead;
	/** The whole body, or the part of it that has arrived. */
	readonly body: Uint8Array;
	readonly isWhole: boolean;
};

/** Whether the caller has closed the connection: nobody receives the answer. */
export function hasCallerLeft({
	request,
	response,
}: Pick<CallerRequest, 'request' | 'response'>): boolean {
	const {socket} = request;
	return response.destroyed || socket.destroyed || socket.readableEnded;
}

export function formatBodyTooLong({maxBodyBytes}: CallerLimits): string {
	return `the body is longer than the ${maxBodyBytes} bytes that are allowed`;
}
