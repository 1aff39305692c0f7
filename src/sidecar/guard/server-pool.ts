/** Pool of connections to the backend server; idle ones are reused while the server keeps them open. */
import {IdleConnections} from '../idle-connections.ts';
import {type HeadCodec, type SocketAddress} from '../types.ts';
import {ServerConnection} from './server-connection.ts';

/** Keep-alive time-out that is assumed when the server states none. */
const defaultKeepAliveMs = 4000;
/** Share of the keep-alive time-out during which an idle connection is reused. */
const usedKeepAliveShare = 0.7;
/** An at-most-once request only reuses a connection that has been idle for no longer than this. */
const maxIdleForOnceMs = 300;
const sweepIntervalMs = 2000;

export class ServerPool {
	/**
	 * @example
	 * const pool = ServerPool.create({host: '10.1.0.8', port: 8301}, codec);
	 */
	static create(address: SocketAddress, codec: HeadCodec): ServerPool {
		return new ServerPool(address, codec);
	}

	readonly #idle = IdleConnections.create<ServerConnection>();
	#openedCount = 0;
	readonly #timer: NodeJS.Timeout;
	readonly #owner = {
		handleIdle: (connection: ServerConnection) => {
			this.#idle.add(connection);
		},
		handleClosed: (connection: ServerConnection) => {
			this.#idle.remove(connection);
		},
	};

	private constructor(
		private readonly address: SocketAddress,
		private readonly codec: HeadCodec,
	) {
		this.#timer = setInterval(() => {
			this.#closeStale();
		}, sweepIntervalMs);
		this.#timer.unref();
	}

	/** Number of connections opened so far. */
	get openedCount(): number {
		return this.#openedCount;
	}

	/** Reuses an idle connection for a request, or opens one. */
	acquire(requestId: string, isOnce: boolean): ServerConnection {
		const nowMs = performance.now();
		const connection = this.#idle.readLast();
		if (connection !== undefined && this.#isUsable(connection, {requestId, isOnce, nowMs})) {
			this.#idle.takeLast();
			return connection;
		}

		this.#openedCount++;
		return ServerConnection.open(this.address, this.codec, this.#owner);
	}

	/** Closes connections that became idle before a given time, after one of that age was found dead. */
	closeIdleBefore(timeMs: number): void {
		this.#idle.closeBefore(timeMs);
	}

	/** Closes all idle connections, for example when another server takes over the address. */
	closeIdle(): void {
		this.#idle.closeWhere(() => true);
	}

	#isUsable(
		connection: ServerConnection,
		use: {requestId: string; isOnce: boolean; nowMs: number},
	): boolean {
		const idleMs = use.nowMs - connection.idleSinceMs;
		const usualMaxIdleMs = computeMaxIdleMs(connection);
		const maxIdleMs = use.isOnce ? Math.min(maxIdleForOnceMs, usualMaxIdleMs) : usualMaxIdleMs;
		// Answers are matched by request id. On a connection that has carried the same id before, a late
		// answer to that attempt would be taken for the answer to this one. Without an id, only a connection
		// that has carried nothing else tells which request was refused.
		const isAmbiguous = use.requestId === '' || connection.hasCarried(use.requestId);
		return idleMs <= maxIdleMs && !isAmbiguous;
	}

	#closeStale(): void {
		const nowMs = performance.now();
		this.#idle.closeWhere(each => nowMs - each.idleSinceMs > computeMaxIdleMs(each));
	}
}

/** How long a connection may be idle and still be reused. */
function computeMaxIdleMs({keepAliveMs}: ServerConnection): number {
	return (keepAliveMs ?? defaultKeepAliveMs) * usedKeepAliveShare;
}
