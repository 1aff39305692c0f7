/**
 * Relays the answer body of an exchange to an HTTP response, with backpressure.
 */
import {type ServerResponse} from 'node:http';
import {type BodyEnd, type Exchange} from './exchange.ts';

export type RelayOptions = {
	/** Whether the body is read to its end after the receiver has disconnected. */
	readonly continuesAfterDisconnect: boolean;
	/** Receives a copy of each chunk. */
	readonly collector?: {add(chunk: Uint8Array): void} | undefined;
};

const defaultRelayOptions: RelayOptions = {continuesAfterDisconnect: false};

/**
 * Relays the body of an answer. If the body is truncated, the connection of the response is
 * destroyed, so that the receiver can't mistake the part for the whole body.
 *
 * @returns how the body ended
 * @example
 * const end = await relayBody(exchange, response, {continuesAfterDisconnect: true, collector});
 */
export async function relayBody(
	exchange: Exchange,
	response: ServerResponse,
	{continuesAfterDisconnect, collector}: RelayOptions = defaultRelayOptions,
): Promise<BodyEnd> {
	return new Promise(resolve => {
		const resume = () => {
			exchange.resume();
		};

		response.on('drain', resume);
		if (continuesAfterDisconnect) {
			response.once('close', resume);
		}

		exchange.relayTo({
			receiveData(chunk) {
				collector?.add(chunk);
				return (continuesAfterDisconnect && response.destroyed) || response.write(chunk);
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
 * Reads and discards the body of an exchange, so that its connection can be reused.
 *
 * @example
 * discardBody(exchange);
 */
export function discardBody(exchange: Exchange): void {
	exchange.relayTo({
		receiveData: () => true,
		receiveEnd() {
			// The result of a discarded body isn't needed.
		},
	});
}
