/** Listeners, news and ports for the specs of links. */
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {type LinkListener} from './link.ts';
import {type ReplyNews} from './messages.ts';

/** News of an idle guard. */
export const testNews: ReplyNews = {
	load: {running: 0, waiting: 0, limit: 1},
	configVersion: 1,
	pressure: [],
	costs: undefined,
	isInner: undefined,
};

function ignore(): void {
	// The specs look elsewhere.
}

/** Creates a listener that ignores all but what the spec is after. */
export function createTestListener(more: Partial<LinkListener>): LinkListener {
	return {
		handleNews: ignore,
		handleAnswer: ignore,
		handleData: ignore,
		handleEnd: ignore,
		handleRefusal: ignore,
		handleFailure: ignore,
		handleUnreachable: ignore,
		handleLost: ignore,
		handleDrain: ignore,
		...more,
	};
}

/** Finds ports on the loopback address that nobody listens on. */
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
