/** Starts the small HTTP servers beside the callers' one, with bounds on what they read. */
import http from 'node:http';
import {type ReadLimits} from './read-message.ts';
import {type SocketAddress} from './types.ts';

/** Bounds of a message; its sender waits a second for the answer. */
export const messageLimits: ReadLimits = {maxBytes: 64 * 1024, maxMs: 2000};
/** Time for a whole request; a connection that has sent nothing counts from its start. */
const maxRequestMs = 4000;
const checkIntervalMs = 1000;
const keepAliveMs = 30_000;
/** Far more than the platform and the local server open. */
const maxConnections = 256;

/** Resolves when the server listens. */
export async function startHttpServer(
	address: SocketAddress,
	handle: http.RequestListener,
): Promise<http.Server> {
	const options: http.ServerOptions = {
		keepAliveTimeout: keepAliveMs,
		headersTimeout: maxRequestMs,
		requestTimeout: maxRequestMs,
		connectionsCheckingInterval: checkIntervalMs,
	};
	return new Promise((resolve, reject) => {
		const server = http.createServer(options, handle);
		server.maxConnections = maxConnections;
		server.once('error', reject);
		server.listen(address, () => {
			resolve(server);
		});
	});
}
