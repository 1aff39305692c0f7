/** Server side of the links between sidecars: receives the requests of entries and sync requests. */
import net from 'node:net';
import {type AcceptQueue} from '../scheduling/accept-queue.ts';
import {type SocketAddress} from '../types.ts';
import {GuardLink, type GuardLinkOptions} from './guard-link.ts';

/** Length of the accept queue; a full queue delays new connections by seconds. */
const backlog = 1024;

export type LinkServerOptions = GuardLinkOptions & {
	/** Connections of peers that wait to be accepted. */
	readonly acceptQueue: Pick<AcceptQueue, 'recordAccept'>;
};

export class LinkServer {
	/**
	 * @example
	 * const links = LinkServer.create(options);
	 * await links.listen({host: '10.1.0.8', port: 8300});
	 */
	static create(options: LinkServerOptions): LinkServer {
		return new LinkServer(options);
	}

	readonly #server: net.Server;
	readonly #sockets = new Set<net.Socket>();

	private constructor(options: LinkServerOptions) {
		this.#server = net.createServer(socket => {
			options.acceptQueue.recordAccept();
			GuardLink.create(socket, options);
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	async listen(address: SocketAddress): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({...address, backlog}, resolve);
		});
	}

	close(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}
}
