/**
 * Relays the body of an exchange to an HTTP response with back-pressure.
 */
import {type ServerResponse} from 'node:http';
import {type BodyEnd, type Exchange} from './exchange.ts';

export type RelayEnd = BodyEnd & {readonly bytes: number};

/**
 * Relays an answer's body. A truncated body destroys the connection of the response, so that its
 * receiver can't take the part for the whole.
 *
 * @returns how the body ended and how many bytes it had
 * @example
 * const end = await relayBody(exchange, response);
 */
export async function relayBody(exchange: Exchange, response: ServerResponse): Promise<RelayEnd> {
	return new Promise(resolve => {
		let bytes = 0;
		response.on('drain', () => {
			exchange.resume();
		});
		exchange.relayTo({
			receiveData(chunk) {
				bytes += chunk.length;
				return response.write(chunk);
			},
			receiveEnd(end) {
				if (end.kind === 'whole') {
					response.end();
				} else {
					response.destroy();
				}

				resolve({...end, bytes});
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
