/** A caller's request as the entry takes it, and the way of a body that is too long to be kept. */
import type http from 'node:http';
import {type ClientLimits, type RequestHead} from '../types.ts';
import {type Send} from './send.ts';

export type CallerRequest = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly head: RequestHead;
	/** The whole body, or the part of it that has come. */
	readonly body: Uint8Array;
	readonly isWhole: boolean;
};

/**
 * Passes on the rest of a body while it comes; the guard's pace is the caller's.
 *
 * @param onTooLong - hears of a body that turns out to be too long; no more of it is passed on
 */
export function streamBody(
	{request, body}: CallerRequest,
	send: Pick<Send, 'sendBody' | 'endBody'>,
	limits: ClientLimits,
	onTooLong: (reason: string) => void,
): void {
	let bytes = body.length;
	const handleEnd = () => {
		send.endBody();
	};

	const handleData = (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > limits.maxBodyBytes) {
			request.off('data', handleData);
			request.off('end', handleEnd);
			onTooLong(formatBodyTooLong(limits));
			return;
		}

		if (!send.sendBody(chunk)) {
			request.pause();
		}
	};

	request.on('data', handleData);
	request.on('end', handleEnd);
	request.resume();
}

export function formatBodyTooLong({maxBodyBytes}: ClientLimits): string {
	return `the body is longer than the ${maxBodyBytes} bytes that are allowed`;
}
