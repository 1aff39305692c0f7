/**
 * Relays the body of an exchange to an HTTP response with back-pressure.
 */
import {type ServerResponse} from 'node:http';
import {type BodyEnd, type Exchange} from './exchange.ts';

/**
 * Relays an answer's body. A truncated body destroys the connection of the response, so that its
 * receiver can't take the part for the whole.
 *
 * @returns how the body ended
 * @example
 * const end = await relayBody(exchange, response);
 */
export async function relayBody(exchange: Exchange, response: ServerResponse): Promise<BodyEnd> {
	return new Promise(resolve => {
		response.on('drain', () => {
			exchange.resume();
		});
		exchange.relayTo({
			receiveData(chunk) {
				return response.write(chunk);
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
