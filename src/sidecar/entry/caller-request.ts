/** A caller's request as the entry takes it, and the way of a body that is too long to be kept. */
import type http from 'node:http';
import {type RequestHead} from '../types.ts';
import {type Send} from './send.ts';

export type CallerRequest = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly head: RequestHead;
	/** The whole body, or the part of it that has come. */
	readonly body: Uint8Array;
	readonly isWhole: boolean;
};

/** Passes on the rest of a body while it comes; the guard's pace is the caller's. */
export function streamBody(request: http.IncomingMessage, send: Send): void {
	request.on('data', (chunk: Uint8Array) => {
		if (!send.sendBody(chunk)) {
			request.pause();
		}
	});
	request.on('end', () => {
		send.endBody();
	});
	request.resume();
}
