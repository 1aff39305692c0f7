/** Relays the parts of a long answer to the caller, with backpressure in both directions. */
import type http from 'node:http';
import {type AttemptListener} from './attempt.ts';
import {type CallerReply} from './caller-reply.ts';

/**
 * Creates the handlers for the parts of an answer after its head.
 *
 * @param setPaused - pauses or resumes receiving the answer
 * @example
 * const handlers = createStreamListener(request, reply, isPaused => attempt.setPaused(isPaused));
 */
export function createStreamListener(
	request: http.IncomingMessage,
	reply: Pick<CallerReply, 'relayChunk' | 'end'>,
	setPaused: (isPaused: boolean) => void,
): Pick<AttemptListener, 'handleData' | 'handleEnd' | 'handleDrain'> {
	return {
		handleData(chunk) {
			if (!reply.relayChunk(chunk)) {
				setPaused(true);
			}
		},
		handleEnd() {
			reply.end();
		},
		handleDrain() {
			request.resume();
		},
	};
}
