/** Listeners, reply metadata and free ports for the tests of links. */
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {type LinkListener} from './link.ts';
import {type ReplyMetadata} from './messages.ts';

/** Reply metadata of an idle guard. */
export const testMetadata: ReplyMetadata = {
	load: {running: 0, waiting: 0, limit: 1},
	configVersion: 1,
	overloadReports: [],
	costs: undefined,
	isNested: undefined,
};

function ignore(): void {
	// Tests override the events that they check.
}

/** Creates a listener that ignores all events without a handler in `handlers`. */
export function createTestListener(handlers: Partial<LinkListener>): LinkListener {
	return {
		handleMetadata: ignore,
		handleAnswer: ignore,
		handleData: ignore,
		handleEnd: ignore,
		handleRefusal: ignore,
		handleFailure: ignore,
		handleUnreachable: ignore,
		handleLost: ignore,
		handleDrain: ignore,
		...handlers,
	};
}

/** Finds unused ports on the loopback address. */
export async function findFreePorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => net.createServer());
	const ports: number[] = [];
	for (const server of servers) {
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		ports.push((server.address() as AddressInfo).port);
	}

	for (const server of servers) {
		server.close();
	}

	return ports;
}
