/** Asks the own server who it is, once after a start, before it has reported. */
import http from 'node:http';
import {type SocketAddress} from '../types.ts';

/** A server on the same machine answers at once unless it is full. */
const timeoutMs = 800;

/** What a healthy server says of itself. */
export type ProbeResult =
	{readonly kind: 'healthy'; readonly serverId: string} | {readonly kind: 'unknown'};

/**
 * Asks for the server's health.
 *
 * @param idHeader - header in which the server names itself, in lower case
 * @returns `unknown` when it does not answer, is not healthy or does not say who it is
 * @example
 * const result = await probeHealth(address, '/health', 'x-server-id');
 */
export async function probeHealth(
	address: SocketAddress,
	path: string,
	idHeader: string,
): Promise<ProbeResult> {
	return new Promise(resolve => {
		const request = http.get({...address, path, agent: false, timeout: timeoutMs});
		request.on('response', response => {
			response.resume();
			const serverId = response.headers[idHeader];
			const isHealthy = response.statusCode === 200 && typeof serverId === 'string';
			resolve(isHealthy ? {kind: 'healthy', serverId} : {kind: 'unknown'});
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('close', () => {
			resolve({kind: 'unknown'});
		});
		request.on('error', () => {
			resolve({kind: 'unknown'});
		});
	});
}
