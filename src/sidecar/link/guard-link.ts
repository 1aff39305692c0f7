/** One accepted connection from a peer, in front of the guard: reads its frames and writes the guard's replies. */
import {Buffer} from 'node:buffer';
import type net from 'node:net';
import {type Guard} from '../guard/guard.ts';
import {type RunQueue} from '../scheduling/run-queue.ts';
import {type Exchange, type ExchangeListener} from './exchange.ts';
import {type Frame, frameTypes} from './frames.ts';
import {FrameSocket} from './frame-socket.ts';
import {decodeCall, decodeResume, encodeAnswer, encodeFailure, encodeRefusal} from './codec.ts';
import {
	type AnswerHead,
	type CallHead,
	type FailureHead,
	type RefusalHead,
	type ReplyMetadata,
	takenFeature,
} from './messages.ts';

/** The entry is told of each such part of a body that the server has taken. */
const takenStepBytes = 64 * 1024;
/** Entries close links that were idle for a third of this. */
const maxIdleMs = 60_000;

export type GuardLinkOptions = {
	readonly guard: Guard;
	readonly incarnation: string;
	/** Starts requests, after further input was read when the event loop lags. */
	readonly runQueue: Pick<RunQueue, 'submit'>;
	/** Creates the metadata of a reply to a request on a route from an instance of a service. */
	createMetadata(route: string, callerService: string): ReplyMetadata;
	/** Answers a peer's request for newer configuration and members. */
	answerSync(request: string): string;
	/** Called when a request was cancelled, or its connection lost, before the guard received it. */
	handleUnread(head: CallHead): void;
	/** Called with the reason when a frame from a peer is invalid or unexpected; the connection is then closed. */
	handleInvalidFrame(reason: string): void;
};

/** One accepted connection from an entry; it carries one exchange at a time. */
export class GuardLink implements ExchangeListener {
	/**
	 * @example
	 * GuardLink.create(socket, options);
	 */
	static create(socket: net.Socket, options: GuardLinkOptions): GuardLink {
		return new GuardLink(socket, options);
	}

	readonly #frames: FrameSocket;
	#exchange: Exchange | undefined;
	/** Whether frames with further parts of the request's body may follow. */
	#isBodyOpen = false;
	#takenBytes = 0;
	#reportedBytes = 0;
	/** A request that the guard has not received yet. */
	#unreadHead: CallHead | undefined;
	#nonce: string | undefined;
	#route = '';
	#callerService = '';

	private constructor(
		socket: net.Socket,
		private readonly options: GuardLinkOptions,
	) {
		this.#frames = FrameSocket.create(socket, {
			handleFrame: frame => {
				this.#handleFrame(frame);
			},
			handleDrain: () => {
				this.#exchange?.setPaused(false);
			},
			handleClosed: () => {
				this.#handleClosed();
			},
		});
		socket.setTimeout(maxIdleMs, () => {
			if (this.#nonce === undefined && this.#unreadHead === undefined) {
				this.#frames.close();
			}
		});
		this.#frames.send(frameTypes.hello, options.incarnation, Buffer.from(takenFeature));
	}

	handleAnswer(head: AnswerHead, body: Uint8Array): void {
		const text = encodeAnswer(head, this.#createMetadata());
		const isWritable = this.#frames.send(frameTypes.answer, text, body);
		if (head.isWhole) {
			this.#nonce = undefined;
		} else if (!isWritable) {
			this.#exchange?.setPaused(true);
		}
	}

	handleData(chunk: Uint8Array): void {
		if (!this.#frames.send(frameTypes.data, '', chunk)) {
			this.#exchange?.setPaused(true);
		}
	}

	handleEnd(): void {
		this.#nonce = undefined;
		this.#frames.send(frameTypes.end, '');
	}

	handleRefusal(head: RefusalHead): void {
		this.#nonce = undefined;
		this.#frames.send(frameTypes.refused, encodeRefusal(head, this.#createMetadata()));
	}

	handleFailure(head: FailureHead): void {
		this.#nonce = undefined;
		this.#frames.send(frameTypes.failed, encodeFailure(head, this.#createMetadata()));
	}

	handleTaken(totalBytes: number): void {
		this.#takenBytes = totalBytes;
		if (totalBytes - this.#reportedBytes >= takenStepBytes) {
			this.#reportTaken();
		}
	}

	/** Reports on the body of the current request; after its end the link may carry another one. */
	#reportTaken(): void {
		if (this.#nonce !== undefined) {
			this.#reportedBytes = this.#takenBytes;
			this.#frames.send(frameTypes.taken, String(this.#takenBytes));
		}
	}

	#handleClosed(): void {
		if (this.#unreadHead !== undefined) {
			this.#dropUnread(this.#unreadHead);
		} else if (this.#nonce !== undefined) {
			this.options.guard.handleLinkLost(this.#nonce, this);
		}
	}

	/** Passes a request to the guard, unless it was cancelled or the connection was lost meanwhile. */
	#submitLater(head: CallHead, body: Uint8Array): void {
		this.#unreadHead = head;
		const readAtMs = performance.now();
		const submit = () => {
			if (this.#unreadHead !== head) {
				return;
			}

			this.#unreadHead = undefined;
			const heldMs = performance.now() - readAtMs;
			this.#exchange = this.options.guard.submit(head, body, this, heldMs);
		};

		// After the frames that were read together with this one.
		queueMicrotask(() => {
			this.options.runQueue.submit(submit);
		});
	}

	#dropUnread(head: CallHead): void {
		this.#unreadHead = undefined;
		this.options.handleUnread(head);
	}

	#cancel(): void {
		if (this.#unreadHead === undefined) {
			this.#exchange?.cancel();
		} else {
			this.#dropUnread(this.#unreadHead);
			this.handleRefusal({reason: 'forgotten', member: undefined});
		}
	}

	#setRequest({nonce, route, callerService}: Pick<CallHead, 'nonce' | 'route' | 'callerService'>) {
		this.#nonce = nonce;
		this.#isBodyOpen = false;
		this.#takenBytes = 0;
		this.#reportedBytes = 0;
		this.#route = route;
		this.#callerService = callerService;
	}

	#createMetadata(): ReplyMetadata {
		return this.options.createMetadata(this.#route, this.#callerService);
	}

	/** A part of a body can't follow a whole request, or one that was resumed with a part missing. */
	#requireOpenBody(): void {
		if (!this.#isBodyOpen) {
			throw new Error(`a part of a body after the end of the request ${this.#nonce ?? ''}`);
		}
	}

	#handleFrame(frame: Frame): void {
		try {
			this.#dispatch(frame);
		} catch (error) {
			this.options.handleInvalidFrame((error as Error).message);
			this.#frames.close();
		}
	}

	#dispatch(frame: Frame): void {
		switch (frame.type) {
			case frameTypes.open: {
				const head = decodeCall(frame.head);
				this.#setRequest(head);
				if (head.isWhole) {
					this.#submitLater(head, Buffer.from(frame.body));
				} else {
					// The frames with the rest of the body need the exchange.
					this.#isBodyOpen = true;
					this.#exchange = this.options.guard.submit(head, Buffer.from(frame.body), this);
				}

				break;
			}

			case frameTypes.data: {
				this.#requireOpenBody();
				this.#exchange?.sendBody(Buffer.from(frame.body));
				break;
			}

			case frameTypes.end: {
				this.#requireOpenBody();
				this.#isBodyOpen = false;
				this.#exchange?.endBody();
				break;
			}

			case frameTypes.ping: {
				this.#reportTaken();
				break;
			}

			case frameTypes.cancel: {
				this.#cancel();
				break;
			}

			case frameTypes.resume: {
				const head = decodeResume(frame.head);
				this.#setRequest(head);
				this.#exchange = this.options.guard.resume(head.nonce, head.incarnation, this);
				break;
			}

			case frameTypes.sync: {
				this.#frames.send(frameTypes.state, this.options.answerSync(frame.head));
				break;
			}

			case frameTypes.answer:
			case frameTypes.refused:
			case frameTypes.failed:
			case frameTypes.state:
			case frameTypes.taken:
			case frameTypes.hello: {
				throw new Error(`unexpected frame of type ${frame.type} from an entry`);
			}
		}
	}
}
