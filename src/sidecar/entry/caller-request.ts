/** A caller's request, and streaming of bodies that are too long to be buffered. */
import type http from 'node:http';
import {type CallerLimits, type RequestHead} from '../types.ts';
import {type Attempt} from './attempt.ts';

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

/**
 * Streams the rest of a request body to the guard, with the guard's backpressure applied to the caller.
 *
 * @param onTooLong - called when the body exceeds the limit; nothing more of it is sent
 */
export function streamBody(
	{request, body}: CallerRequest,
	attempt: Pick<Attempt, 'sendBody' | 'endBody'>,
	limits: CallerLimits,
	onTooLong: (reason: string) => void,
): void {
	let bytes = body.length;
	const handleEnd = () => {
		attempt.endBody();
	};

	const handleData = (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > limits.maxBodyBytes) {
			request.off('data', handleData);
			request.off('end', handleEnd);
			onTooLong(formatBodyTooLong(limits));
			return;
		}

		if (!attempt.sendBody(chunk)) {
			request.pause();
		}
	};

	request.on('data', handleData);
	request.on('end', handleEnd);
	request.resume();
}

export function formatBodyTooLong({maxBodyBytes}: CallerLimits): string {
	return `the body is longer than the ${maxBodyBytes} bytes that are allowed`;
}
