/** One connection to a peer, from the entry's side; it carries one exchange at a time. */
import net from 'node:net';
import {type SocketAddress} from '../types.ts';
import {decodeReply, encodeCall} from './codec.ts';
import {type Exchange, type ExchangeListener} from './exchange.ts';
import {type Frame, frameTypes} from './frames.ts';
import {FrameSocket} from './frame-socket.ts';
import {type CallHead, type ReplyNews, type ResumeHead} from './messages.ts';

/** The slowest way between regions takes 60 ms there and back; a lost packet costs some 200 ms more. */
const connectTimeoutMs = 500;

/** What becomes of an exchange on a link, besides what the guard tells. */
export type LinkListener = ExchangeListener & {
	/** What the reply tells besides its answer. */
	handleNews(news: ReplyNews): void;
	/** Nothing was sent; the peer can't be reached. */
	handleUnreachable(reason: string): void;
	/** The connection was lost after the request was sent. */
	handleLost(): void;
	/** The peer takes more of the body. */
	handleDrain(): void;
};

/** An exchange over a link. */
export type LinkExchange = Exchange & {
	/** Incarnation of the guard at the other end; undefined until it has named itself. */
	readonly incarnation: string | undefined;
	/** Ends the link without a word, if it still carries the exchange of a listener. */
	abandon(listener: LinkListener): void;
};

/** What a link tells the pool that owns it. */
export type LinkOwner = {
	handleIdle(link: Link): void;
	handleClosed(link: Link): void;
	/** The peer sent what no reply is; the link is closed, as if the connection were lost. */
	handleBadFrame(reason: string): void;
};

type LinkState =
	| {readonly kind: 'idle'}
	| {readonly kind: 'exchange'; readonly listener: LinkListener}
	| {readonly kind: 'sync'; readonly onDone: (state: string | undefined) => void};

export class Link implements LinkExchange {
	/**
	 * Opens a connection; requests may be sent at once and go out when it is established.
	 *
	 * @example
	 * const link = Link.connect(address, owner);
	 */
	static connect(address: SocketAddress, owner: LinkOwner): Link {
		return new Link(address, owner);
	}

	idleSinceMs = 0;
	readonly #socket: net.Socket;
	readonly #frames: FrameSocket;
	#state: LinkState = {kind: 'idle'};
	#incarnation: string | undefined;
	#isConnected = false;
	#isCancelled = false;

	private constructor(
		address: SocketAddress,
		private readonly owner: LinkOwner,
	) {
		this.#socket = net.connect(address);
		this.#socket.setTimeout(connectTimeoutMs, () => {
			this.#socket.destroy();
		});
		this.#socket.on('connect', () => {
			this.#isConnected = true;
			this.#socket.setTimeout(0);
		});
		this.#frames = FrameSocket.create(this.#socket, {
			handleFrame: frame => {
				this.#handleFrame(frame);
			},
			handleDrain: () => {
				if (this.#state.kind === 'exchange') {
					this.#state.listener.handleDrain();
				}
			},
			handleClosed: () => {
				this.#handleClosed();
			},
		});
	}

	get incarnation(): string | undefined {
		return this.#incarnation;
	}

	open(head: CallHead, body: Uint8Array, listener: LinkListener): this {
		this.#state = {kind: 'exchange', listener};
		this.#isCancelled = false;
		this.#frames.send(frameTypes.open, encodeCall(head), body);
		return this;
	}

	resume(question: ResumeHead, listener: LinkListener): this {
		this.#state = {kind: 'exchange', listener};
		this.#frames.send(frameTypes.resume, JSON.stringify(question));
		return this;
	}

	async sync(question: string, timeoutMs: number): Promise<string | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.close();
			}, timeoutMs);
			const onDone = (state: string | undefined) => {
				clearTimeout(timer);
				resolve(state);
			};

			this.#state = {kind: 'sync', onDone};
			this.#frames.send(frameTypes.sync, question);
		});
	}

	/** Tells the guard, and keeps the connection until it has answered. */
	cancel(): void {
		if (this.#state.kind === 'exchange' && !this.#isCancelled) {
			this.#isCancelled = true;
			this.#frames.setPaused(false);
			this.#frames.send(frameTypes.cancel, '');
		}
	}

	sendBody(chunk: Uint8Array): boolean {
		return this.#frames.send(frameTypes.data, '', chunk);
	}

	endBody(): void {
		this.#frames.send(frameTypes.end, '');
	}

	setPaused(isPaused: boolean): void {
		this.#frames.setPaused(isPaused && !this.#isCancelled);
	}

	abandon(listener: LinkListener): void {
		if (this.#state.kind === 'exchange' && this.#state.listener === listener) {
			this.close();
		}
	}

	close(): void {
		this.#frames.close();
	}

	#handleFrame(frame: Frame): void {
		if (frame.type === frameTypes.hello) {
			this.#incarnation = frame.head;
			return;
		}

		const state = this.#state;
		switch (state.kind) {
			case 'idle': {
				this.close();
				break;
			}

			case 'sync': {
				this.#free();
				state.onDone(frame.type === frameTypes.state ? frame.head : undefined);
				break;
			}

			case 'exchange': {
				this.#handleReply(frame, state.listener);
				break;
			}
		}
	}

	#handleReply(frame: Frame, listener: LinkListener): void {
		const reply = decodeReply(frame);
		switch (reply.kind) {
			case 'answer': {
				if (reply.head.isWhole) {
					this.#free();
				}

				listener.handleNews(reply.news);
				listener.handleAnswer(reply.head, frame.body);
				break;
			}

			case 'data': {
				listener.handleData(frame.body);
				break;
			}

			case 'end': {
				this.#free();
				listener.handleEnd();
				break;
			}

			case 'refusal': {
				this.#free();
				listener.handleNews(reply.news);
				listener.handleRefusal(reply.head);
				break;
			}

			case 'failure': {
				this.#free();
				listener.handleNews(reply.news);
				listener.handleFailure(reply.head);
				break;
			}

			case 'unreadable': {
				this.owner.handleBadFrame(reply.reason);
				this.close();
				break;
			}
		}
	}

	#free(): void {
		this.#state = {kind: 'idle'};
		this.owner.handleIdle(this);
	}

	#handleClosed(): void {
		const state = this.#state;
		this.#state = {kind: 'idle'};
		this.owner.handleClosed(this);
		switch (state.kind) {
			case 'idle': {
				break;
			}

			case 'sync': {
				state.onDone(undefined);
				break;
			}

			case 'exchange': {
				if (this.#isConnected) {
					state.listener.handleLost();
				} else {
					state.listener.handleUnreachable('no connection');
				}

				break;
			}
		}
	}
}
