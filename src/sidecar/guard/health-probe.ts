/** Identifies the local server through its health endpoint after a start, before its first report. */
import http from 'node:http';
import {type SocketAddress} from '../types.ts';

/** A server on the same machine responds at once unless all its slots are in use. */
const probeTimeoutMs = 800;

/** Result of one health request. */
export type ProbeResult =
	{readonly kind: 'healthy'; readonly serverId: string} | {readonly kind: 'unknown'};

/**
 * Requests the server's health endpoint.
 *
 * @param idHeader - response header with the server's id, in lower case
 * @returns `unknown` when the server does not respond, is not healthy or sends no id
 * @example
 * const result = await probeHealth(address, '/health', 'x-server-id');
 */
export async function probeHealth(
	address: SocketAddress,
	path: string,
	idHeader: string,
): Promise<ProbeResult> {
	return new Promise(resolve => {
		const request = http.get({...address, path, agent: false, timeout: probeTimeoutMs});
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
