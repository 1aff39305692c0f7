/**
 * Relays the body of an exchange to an HTTP response with back-pressure.
 */
import {type ServerResponse} from 'node:http';
import {type BodyEnd, type Exchange} from './exchange.ts';

/** How a body is relayed. */
export type RelayOptions = {
	/** Whether it is read to its end also when its receiver has gone. */
	readonly outlivesReceiver: boolean;
	/** Takes a copy of each part. */
	readonly copy?: {add(chunk: Uint8Array): void} | undefined;
};

const untilReceiverLeaves: RelayOptions = {outlivesReceiver: false};

/**
 * Relays an answer's body. A truncated body destroys the connection of the response, so that its
 * receiver can't take the part for the whole.
 *
 * @returns how the body ended
 * @example
 * const end = await relayBody(exchange, response, {outlivesReceiver: true, copy: collector});
 */
export async function relayBody(
	exchange: Exchange,
	response: ServerResponse,
	{outlivesReceiver, copy}: RelayOptions = untilReceiverLeaves,
): Promise<BodyEnd> {
	return new Promise(resolve => {
		const resume = () => {
			exchange.resume();
		};

		response.on('drain', resume);
		if (outlivesReceiver) {
			response.once('close', resume);
		}

		exchange.relayTo({
			receiveData(chunk) {
				copy?.add(chunk);
				return (outlivesReceiver && response.destroyed) || response.write(chunk);
			},
			receiveEnd(end) {
				if (end.kind === 'whole') {
					response.end();
				} else {
					response.destroy();
				}

				resolve(end);
			},
		});
	});
}

/**
 * Reads and drops the body of an exchange, so that its connection can be used again.
 *
 * @example
 * discardBody(exchange);
 */
export function discardBody(exchange: Exchange): void {
	exchange.relayTo({
		receiveData: () => true,
		receiveEnd() {
			// Nobody waits for a dropped body.
		},
	});
}
