/** The entry's side of links: one pool of connections for each peer. */
import {IdleConnections} from '../idle-connections.ts';
import {type SocketAddress} from '../types.ts';
import {Link, type LinkExchange, type LinkListener, type LinkOwner} from './link.ts';
import {type CallHead, type ResumeHead} from './messages.ts';

/** Idle connections kept for each peer, beyond which they are closed after use. */
const maxIdle = 48;
/** A connection that was idle for longer may have been dropped on the way without a word. */
const maxIdleMs = 20_000;

/** Connections to one peer. */
export class LinkPool {
	/**
	 * @param handleBadFrame - hears of a frame of the peer that could not be understood
	 * @example
	 * const pool = LinkPool.create({host: '10.1.0.9', port: 8300}, logBadFrame);
	 * const exchange = pool.open(head, body, listener);
	 */
	static create(address: SocketAddress, handleBadFrame: (reason: string) => void): LinkPool {
		return new LinkPool(address, handleBadFrame);
	}

	readonly #idle = IdleConnections.create<Link>();
	readonly #links = new Set<Link>();
	readonly #owner: LinkOwner = {
		handleIdle: link => {
			if (this.#idle.length < maxIdle) {
				this.#idle.add(link);
			} else {
				link.close();
			}
		},
		handleClosed: link => {
			this.#links.delete(link);
			this.#idle.remove(link);
		},
		handleBadFrame: reason => {
			this.handleBadFrame(reason);
		},
	};

	private constructor(
		private readonly address: SocketAddress,
		private readonly handleBadFrame: (reason: string) => void,
	) {}

	/** Sends a request to the guard of the peer. */
	open(head: CallHead, body: Uint8Array, listener: LinkListener): LinkExchange {
		return this.#acquire().open(head, body, listener);
	}

	/** Asks over a new connection what became of a request whose connection was lost. */
	resume(question: ResumeHead, listener: LinkListener): LinkExchange {
		return this.#connect().resume(question, listener);
	}

	/** Asks the peer for newer configuration and members. */
	async sync(question: string, timeoutMs: number): Promise<string | undefined> {
		return this.#acquire().sync(question, timeoutMs);
	}

	close(): void {
		for (const link of this.#links) {
			link.close();
		}
	}

	/** Closes connections that were idle before a moment, when one from then turned out to be silent. */
	closeIdleBefore(momentMs: number): void {
		this.#idle.closeBefore(momentMs);
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
