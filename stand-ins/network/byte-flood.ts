/** Sends bytes without end to a port, or to whoever connects, and tells how that ended. */
import {Buffer} from 'node:buffer';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {type SocketAddress} from '../../src/sidecar/types.ts';

/** How the bytes after the beginning come. */
export type FloodPace =
	/** As fast as the other side reads, up to a number of bytes. */
	| {readonly kind: 'fast'; readonly maxBytes: number}
	/** One byte at a time. */
	| {readonly kind: 'slow'; readonly gapMs: number}
	| {readonly kind: 'silent'};

export type FloodPlan = {
	/** What the connection begins with. */
	readonly begin: string | Uint8Array;
	/** Creates the beginning of an answer to a request, in place of `begin`. */
	readonly answer?: (request: string) => string;
	/** What is sent again and again. */
	readonly repeat: Uint8Array;
	readonly pace: FloodPace;
};

export type FloodResult = {
	/** Whether the other side closed the connection. */
	readonly isClosed: boolean;
	readonly sentBytes: number;
	readonly tookMs: number;
};

/** Connects to a port and sends bytes until the other side closes, or for a time. */
export async function sendFlood(
	port: number,
	plan: FloodPlan,
	maxMs: number,
): Promise<FloodResult> {
	const socket = net.connect({host: '127.0.0.1', port});
	return runFlood(socket, plan, maxMs);
}

async function runFlood(socket: net.Socket, plan: FloodPlan, maxMs: number): Promise<FloodResult> {
	const startedAtMs = performance.now();
	let isClosed = false;
	socket.on('error', () => {
		// A reset also closes the connection.
	});
	socket.on('close', () => {
		isClosed = true;
	});
	socket.resume();
	socket.write(plan.begin);
	const isOver = () => isClosed || performance.now() - startedAtMs > maxMs;
	const {pace} = plan;
	while (!isOver()) {
		switch (pace.kind) {
			case 'fast': {
				const isFull = socket.writableLength > 0 || socket.bytesWritten > pace.maxBytes;
				if (!isFull) {
					socket.write(plan.repeat);
				}

				await wait(isFull ? 1 : 0);
				break;
			}

			case 'slow': {
				socket.write(plan.repeat.subarray(0, 1));
				await wait(pace.gapMs);
				break;
			}

			case 'silent': {
				await wait(20);
				break;
			}
		}
	}

	const tookMs = performance.now() - startedAtMs;
	const result = {isClosed, sentBytes: socket.bytesWritten, tookMs};
	socket.destroy();
	return result;
}

/** Listens and sends bytes without end to whoever connects and has sent something. */
export class FloodServer {
	/**
	 * @example
	 * const server = await FloodServer.start(plan, 5000);
	 */
	static async start(plan: FloodPlan, maxMs: number, port = 0): Promise<FloodServer> {
		const server = new FloodServer(plan, maxMs);
		await new Promise<void>(resolve => {
			server.#server.listen(port, '127.0.0.1', resolve);
		});
		return server;
	}

	readonly results: FloodResult[] = [];
	readonly #server: net.Server;
	readonly #sockets = new Set<net.Socket>();
	readonly #floods: Array<Promise<void>> = [];

	private constructor(plan: FloodPlan, maxMs: number) {
		this.#server = net.createServer(socket => {
			this.#sockets.add(socket);
			socket.once('data', request => {
				const begin = plan.answer?.(request.toString()) ?? plan.begin;
				this.#floods.push(this.#flood(socket, {...plan, begin}, maxMs));
			});
			socket.on('error', () => {
				// The other side may close first.
			});
		});
	}

	get address(): SocketAddress {
		return {host: '127.0.0.1', port: (this.#server.address() as AddressInfo).port};
	}

	/** Resolves when the connections so far have ended. */
	async waitForResults(): Promise<void> {
		await Promise.all(this.#floods);
	}

	stop(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}

	async #flood(socket: net.Socket, plan: FloodPlan, maxMs: number): Promise<void> {
		this.results.push(await runFlood(socket, plan, maxMs));
	}
}

/** Encodes one chunk of a body whose length isn't announced. */
export function encodeFloodChunk(bytes: number): Uint8Array {
	return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`);
}
