/** Asks the local server for its id and health at its own address. */
import http from 'node:http';
import {type SocketAddress} from '../types.ts';
import {type ServerWitness} from './local-server-state.ts';

/** A server on the same machine responds at once unless all its slots are in use. */
const probeTimeoutMs = 800;

/**
 * Requests the server's health endpoint. Only the head of the answer is read.
 *
 * @param idHeader - response header with the server's id, in lower case
 * @returns `silent` when the server sends no head in time
 * @example
 * const witness = await probeHealth(address, '/health', 'x-server-id');
 */
export async function probeHealth(
	address: SocketAddress,
	path: string,
	idHeader: string,
): Promise<ServerWitness> {
	return new Promise(resolve => {
		const request = http.get({...address, path, agent: false});
		const finish = (witness: ServerWitness) => {
			clearTimeout(timer);
			request.destroy();
			resolve(witness);
		};

		const timer = setTimeout(finish, probeTimeoutMs, {kind: 'silent'});
		request.on('response', response => {
			const serverId = response.headers[idHeader];
			const id = typeof serverId === 'string' ? serverId : undefined;
			const isHealthy = response.statusCode === 200 && id !== undefined;
			finish(isHealthy ? {kind: 'healthy', serverId: id} : {kind: 'unhealthy', serverId: id});
		});
		request.on('error', () => {
			finish({kind: 'silent'});
		});
	});
}
