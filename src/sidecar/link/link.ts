/** Client side of one connection to a peer; it carries one exchange at a time. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {type SocketAddress} from '../types.ts';
import {decodeReply, encodeCall} from './codec.ts';
import {type Frame, frameTypes} from './frames.ts';
import {FrameSocket} from './frame-socket.ts';
import {type LinkExchange, type LinkListener, type LinkOwner} from './link-exchange.ts';
import {type CallHead, type ResumeHead, takenFeature} from './messages.ts';

/** Allows for the slowest round trip between regions, 60 ms, and one lost packet, about 200 ms more. */
const connectTimeoutMs = 500;
/** A guard replies to a cancel frame at once; a link without that reply can't carry another request. */
const cancelTimeoutMs = 5000;

type LinkState =
	| {readonly kind: 'idle'}
	| {readonly kind: 'exchange'; readonly listener: LinkListener}
	| {readonly kind: 'sync'; readonly onDone: (peerState: string | undefined) => void};

export class Link implements LinkExchange {
	/**
	 * Opens a connection; requests may be written at once and are sent when it is established.
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
	#reportsTaken: boolean | undefined;
	#isConnected = false;
	#isCancelled = false;
	#cancelTimer: NodeJS.Timeout | undefined;
	/** Whether the last frame of the request's body was sent; a link with a part of it can't carry another request. */
	#isBodySent = true;
	/** Whether the head of the answer has arrived, of which parts may follow. */
	#hasAnswer = false;

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
				this.#receiveFrame(frame);
			},
			handleClosed: () => {
				this.#handleClosed();
			},
		});
	}

	get incarnation(): string | undefined {
		return this.#incarnation;
	}

	get reportsTaken(): boolean | undefined {
		return this.#reportsTaken;
	}

	open(head: CallHead, body: Uint8Array, listener: LinkListener): this {
		this.#state = {kind: 'exchange', listener};
		this.#hasAnswer = false;
		this.#isCancelled = false;
		this.#isBodySent = head.isWhole;
		this.#frames.send(frameTypes.open, encodeCall(head), body);
		return this;
	}

	resume(head: ResumeHead, listener: LinkListener): this {
		this.#state = {kind: 'exchange', listener};
		this.#hasAnswer = false;
		this.#frames.send(frameTypes.resume, JSON.stringify(head));
		return this;
	}

	async sync(request: string, timeoutMs: number): Promise<string | undefined> {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.close();
			}, timeoutMs);
			const onDone = (peerState: string | undefined) => {
				clearTimeout(timer);
				resolve(peerState);
			};

			this.#state = {kind: 'sync', onDone};
			this.#frames.send(frameTypes.sync, request);
		});
	}

	/** Sends a cancel frame; the connection stays in use until the guard has replied. */
	cancel(): void {
		if (this.#state.kind === 'exchange' && !this.#isCancelled) {
			this.#isCancelled = true;
			this.#frames.setPaused(false);
			this.#frames.send(frameTypes.cancel, '');
			this.#cancelTimer = setTimeout(() => {
				this.close();
			}, cancelTimeoutMs);
			this.#cancelTimer.unref();
		}
	}

	sendBody(chunk: Uint8Array): void {
		this.#frames.send(frameTypes.data, '', chunk);
	}

	endBody(): void {
		this.#isBodySent = true;
		this.#frames.send(frameTypes.end, '');
	}

	ping(): void {
		if (this.#state.kind === 'exchange' && !this.#isCancelled) {
			this.#frames.send(frameTypes.ping, '');
		}
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

	/** Handles a frame; one that can't be handled ends this link only, like a lost connection. */
	#receiveFrame(frame: Frame): void {
		try {
			this.#handleFrame(frame);
		} catch (error) {
			this.owner.handleInvalidFrame(`frame of type ${frame.type}: ${(error as Error).message}`);
			this.close();
		}
	}

	#handleFrame(frame: Frame): void {
		if (frame.type === frameTypes.hello) {
			this.#handleHello(frame);
			return;
		}

		const state = this.#state;
		switch (state.kind) {
			case 'idle': {
				this.close();
				break;
			}

			case 'sync': {
				this.#release();
				state.onDone(frame.type === frameTypes.state ? frame.head : undefined);
				break;
			}

			case 'exchange': {
				this.#handleReply(frame, state.listener);
				break;
			}
		}
	}

	#handleHello({head, body}: Frame): void {
		if (this.#incarnation !== undefined) {
			throw new Error('a further hello frame');
		}

		this.#incarnation = head;
		this.#reportsTaken = Buffer.from(body).toString().split(' ').includes(takenFeature);
		if (!this.#reportsTaken && this.#state.kind === 'exchange') {
			this.#state.listener.handleTaken(Number.POSITIVE_INFINITY);
		}
	}

	#handleReply(frame: Frame, listener: LinkListener): void {
		const reply = decodeReply(frame);
		switch (reply.kind) {
			case 'answer': {
				this.#requireAnswer(false);
				this.#hasAnswer = true;
				if (reply.head.isWhole) {
					this.#release();
				}

				listener.handleMetadata(reply.metadata);
				listener.handleAnswer(reply.head, frame.body);
				break;
			}

			case 'data': {
				this.#requireAnswer(true);
				listener.handleData(frame.body);
				break;
			}

			case 'taken': {
				listener.handleTaken(reply.totalBytes);
				break;
			}

			case 'end': {
				this.#requireAnswer(true);
				this.#release();
				listener.handleEnd();
				break;
			}

			case 'refusal': {
				this.#release();
				listener.handleMetadata(reply.metadata);
				listener.handleRefusal(reply.head);
				break;
			}

			case 'failure': {
				this.#release();
				listener.handleMetadata(reply.metadata);
				listener.handleFailure(reply.head);
				break;
			}

			case 'invalid': {
				this.owner.handleInvalidFrame(reply.reason);
				this.close();
				break;
			}
		}
	}

	/** The head of an answer comes once, before its parts. */
	#requireAnswer(isExpected: boolean): void {
		if (this.#hasAnswer !== isExpected) {
			throw new Error(isExpected ? 'a part of an answer before its head' : 'a second answer');
		}
	}

	#release(): void {
		clearTimeout(this.#cancelTimer);
		this.#state = {kind: 'idle'};
		this.#frames.setPaused(false);
		if (this.#isBodySent) {
			this.owner.handleIdle(this);
		} else {
			this.close();
		}
	}

	#handleClosed(): void {
		clearTimeout(this.#cancelTimer);
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
