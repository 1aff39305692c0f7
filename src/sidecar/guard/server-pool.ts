/** Connections to the backend server, kept as long as the server keeps them. */
import {IdleConnections} from '../idle-connections.ts';
import {type HeadCodec, type SocketAddress} from '../types.ts';
import {ServerConnection} from './server-connection.ts';

/** Kept this long when the server does not say how long it keeps an idle connection. */
const defaultKeepMs = 4000;
/** Part of the server's own time-out after which an idle connection is not used any more. */
const keptShare = 0.7;
/** A request that must not repeat goes over a connection that was in use this recently, or a new one. */
const freshForOnceMs = 300;
const sweepMs = 2000;

export class ServerPool {
	/**
	 * @example
	 * const pool = ServerPool.create({host: '10.1.0.8', port: 8301}, codec);
	 */
	static create(address: SocketAddress, codec: HeadCodec): ServerPool {
		return new ServerPool(address, codec);
	}

	readonly #idle = IdleConnections.create<ServerConnection>();
	#opened = 0;
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
		}, sweepMs);
		this.#timer.unref();
	}

	/** Connections opened so far. */
	get opened(): number {
		return this.#opened;
	}

	/** Finds a connection for a request, or opens one. */
	acquire(requestId: string, isOnce: boolean): ServerConnection {
		const nowMs = performance.now();
		const connection = this.#idle.readLast();
		if (connection !== undefined && this.#isUsable(connection, {requestId, isOnce, nowMs})) {
			this.#idle.takeLast();
			return connection;
		}

		this.#opened++;
		return ServerConnection.open(this.address, this.codec, this.#owner);
	}

	/** Closes connections that were idle before a moment, when one from then turned out to be dead. */
	closeIdleBefore(momentMs: number): void {
		this.#idle.closeBefore(momentMs);
	}

	/** Closes all idle connections, as when another server takes over the address. */
	closeIdle(): void {
		this.#idle.closeWhere(() => true);
	}

	#isUsable(
		connection: ServerConnection,
		use: {requestId: string; isOnce: boolean; nowMs: number},
	): boolean {
		const idleMs = use.nowMs - connection.idleSinceMs;
		const keepMs = computeKeepMs(connection);
		const maxIdleMs = use.isOnce ? Math.min(freshForOnceMs, keepMs) : keepMs;
		// A second answer to an earlier send of the same request could not be told from the first.
		return idleMs <= maxIdleMs && connection.lastRequestId !== use.requestId;
	}

	#closeStale(): void {
		const nowMs = performance.now();
		this.#idle.closeWhere(each => nowMs - each.idleSinceMs > computeKeepMs(each));
	}
}

/** How long an idle connection is used, in milliseconds. */
function computeKeepMs({keepAliveMs}: ServerConnection): number {
	return (keepAliveMs ?? defaultKeepMs) * keptShare;
}
