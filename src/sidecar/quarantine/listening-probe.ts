/** Checks whether a server on this machine accepts connections. */
import net from 'node:net';
import {type SocketAddress} from '../types.ts';

/** A port without a listener refuses at once; a full queue of new connections does not answer. */
const timeoutMs = 150;

/**
 * @returns false only if the address refuses connections; a server that is merely slow counts as listening
 * @example
 * const isListening = await probeListening({host: '10.1.0.8', port: 8301});
 */
export async function probeListening({host, port}: SocketAddress): Promise<boolean> {
	return new Promise(resolve => {
		const socket = net.connect({host, port});
		const finish = (isListening: boolean) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isListening);
		};

		const timer = setTimeout(finish, timeoutMs, true);
		socket.on('connect', () => {
			finish(true);
		});
		socket.on('error', () => {
			finish(false);
		});
	});
}
