/** A network between a sidecar and its server that can reset a connection on the way. */
import net from 'node:net';

/** Bytes that were passed on have left this process after this time. */
const flushMs = 1;

export class ResettingProxy {
	static async start(port: number, serverPort: number): Promise<ResettingProxy> {
		const proxy = new ResettingProxy(serverPort);
		await new Promise<void>(resolve => {
			proxy.#server.listen(port, '127.0.0.1', resolve);
		});
		return proxy;
	}

	readonly #server: net.Server;
	readonly #sockets = new Set<net.Socket>();
	/** Bytes after which connections are reset, by the port from which the server sees them. */
	readonly #limits = new Map<number, number>();

	private constructor(private readonly serverPort: number) {
		this.#server = net.createServer({allowHalfOpen: true, noDelay: true}, near => {
			this.#connect(near);
		});
	}

	/** Resets a connection, both ways, after so many further bytes from the server. */
	resetAfter(portAtServer: number, bytes: number): void {
		this.#limits.set(portAtServer, bytes);
	}

	stop(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#connect(near: net.Socket): void {
		const far = net.connect({
			host: '127.0.0.1',
			port: this.serverPort,
			allowHalfOpen: true,
			noDelay: true,
		});
		for (const [from, to] of [
			[near, far],
			[far, near],
		] as const) {
			this.#sockets.add(from);
			from.on('error', () => {
				to.destroy();
			});
			from.on('close', () => {
				this.#sockets.delete(from);
			});
		}

		near.on('data', chunk => {
			far.write(chunk);
		});
		near.on('end', () => {
			far.end();
		});
		far.on('data', chunk => {
			this.#forward(chunk, near, far);
		});
		far.on('end', () => {
			near.end();
		});
	}

	#forward(chunk: Uint8Array, near: net.Socket, far: net.Socket): void {
		const port = far.localPort ?? 0;
		const limit = this.#limits.get(port);
		if (limit === undefined || chunk.length < limit) {
			near.write(chunk);
			if (limit !== undefined) {
				this.#limits.set(port, limit - chunk.length);
			}

			return;
		}

		this.#limits.delete(port);
		near.write(chunk.subarray(0, limit));
		far.removeAllListeners('data').removeAllListeners('end').pause();
		setTimeout(() => {
			near.resetAndDestroy();
			far.resetAndDestroy();
		}, flushMs);
	}
}
