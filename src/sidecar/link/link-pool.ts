/** Client side of the links between sidecars: one pool of connections per peer, used by the entry. */
import {IdleConnections} from '../idle-connections.ts';
import {type SocketAddress} from '../types.ts';
import {Link} from './link.ts';
import {type LinkExchange, type LinkListener, type LinkOwner} from './link-exchange.ts';
import {type CallHead, type ResumeHead} from './messages.ts';

/** Idle connections kept per peer; connections released beyond this number are closed. */
const maxIdleLinks = 48;
/** Connections idle for longer are not reused: the network may have dropped them silently. */
const maxIdleMs = 20_000;

/** Connections to one peer. */
export class LinkPool {
	/**
	 * @param handleInvalidFrame - called with the reason when a frame from the peer can't be decoded
	 * @example
	 * const pool = LinkPool.create({host: '10.1.0.9', port: 8300}, logInvalidFrame);
	 * const exchange = pool.open(head, body, listener);
	 */
	static create(address: SocketAddress, handleInvalidFrame: (reason: string) => void): LinkPool {
		return new LinkPool(address, handleInvalidFrame);
	}

	readonly #idle = IdleConnections.create<Link>();
	readonly #links = new Set<Link>();
	readonly #owner: LinkOwner = {
		handleIdle: link => {
			if (this.#idle.length < maxIdleLinks) {
				this.#idle.add(link);
			} else {
				link.close();
			}
		},
		handleClosed: link => {
			this.#links.delete(link);
			this.#idle.remove(link);
		},
		handleInvalidFrame: reason => {
			this.handleInvalidFrame(reason);
		},
	};

	private constructor(
		private readonly address: SocketAddress,
		private readonly handleInvalidFrame: (reason: string) => void,
	) {}

	/** Sends a request to the peer's guard. */
	open(head: CallHead, body: Uint8Array, listener: LinkListener): LinkExchange {
		return this.#acquire().open(head, body, listener);
	}

	/** Asks for the result of a request whose connection was lost, over a new connection. */
	resume(head: ResumeHead, listener: LinkListener): LinkExchange {
		return this.#connect().resume(head, listener);
	}

	/**
	 * Asks the peer for newer configuration and members.
	 *
	 * @returns the peer's state, or undefined after a timeout or a lost connection
	 */
	async sync(request: string, timeoutMs: number): Promise<string | undefined> {
		return this.#acquire().sync(request, timeoutMs);
	}

	close(): void {
		for (const link of this.#links) {
			link.close();
		}
	}

	/** Closes connections idle since before a time, after a connection from then stopped responding. */
	closeIdleBefore(timeMs: number): void {
		this.#idle.closeBefore(timeMs);
	}

	#acquire(): Link {
		const nowMs = performance.now();
		for (;;) {
			const link = this.#idle.takeLast();
			if (link === undefined) {
				return this.#connect();
			}

			if (nowMs - link.idleSinceMs <= maxIdleMs) {
				return link;
			}

			link.close();
		}
	}

	#connect(): Link {
		const link = Link.connect(this.address, this.#owner);
		this.#links.add(link);
		return link;
	}
}
