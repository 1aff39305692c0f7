/** Sends and receives frames over a socket. */
import type net from 'node:net';
import {encodeFrame, type Frame, FrameReader, type FrameType} from './frames.ts';

/** Idle time after which the kernel starts TCP keep-alive probes. */
const keepAliveDelayMs = 1000;
/** Time in which a frame that has begun must be whole, while the socket is read. */
const maxFrameMs = 8000;

export type FrameSocketListener = {
	handleFrame(frame: Frame): void;
	/** The socket accepts more; for senders whose frames are not bounded otherwise. */
	handleDrain?(): void;
	/** Called once when the connection is closed. */
	handleClosed(): void;
};

export class FrameSocket {
	/**
	 * @example
	 * const frames = FrameSocket.create(socket, listener);
	 * frames.send(frameTypes.cancel, '');
	 */
	static create(socket: net.Socket, listener: FrameSocketListener): FrameSocket {
		return new FrameSocket(socket, listener);
	}

	readonly #reader = FrameReader.create();
	#frameTimer: NodeJS.Timeout | undefined;
	/** Number of the frame that the timer is for. */
	#timedFrame = 0;

	private constructor(
		private readonly socket: net.Socket,
		listener: FrameSocketListener,
	) {
		socket.setNoDelay(true);
		socket.setKeepAlive(true, keepAliveDelayMs);
		socket.on('data', chunk => {
			const isValid = this.#reader.read(chunk, frame => {
				listener.handleFrame(frame);
			});
			if (!isValid) {
				socket.destroy();
			}

			this.#updateFrameTimer();
		});
		socket.on('drain', () => {
			listener.handleDrain?.();
		});
		socket.on('error', () => {
			// The close event that follows calls `handleClosed`.
		});
		socket.on('close', () => {
			clearTimeout(this.#frameTimer);
			listener.handleClosed();
		});
	}

	/**
	 * Sends one frame.
	 *
	 * @returns false when the socket's buffer is full; the sender should pause until `handleDrain`
	 */
	send(type: FrameType, head: string, body?: Uint8Array): boolean {
		return this.socket.write(encodeFrame(type, head, body));
	}

	setPaused(isPaused: boolean): void {
		if (isPaused) {
			this.socket.pause();
		} else {
			this.socket.resume();
		}

		this.#updateFrameTimer();
	}

	close(): void {
		this.socket.destroy();
	}

	/** Bounds the time of the frame that has begun; none runs between frames or while the socket is paused. */
	#updateFrameTimer(): void {
		const {frameCount, isWithinFrame} = this.#reader;
		const isTimed = isWithinFrame && !this.socket.isPaused() && !this.socket.destroyed;
		if (isTimed && this.#frameTimer !== undefined && this.#timedFrame === frameCount) {
			return;
		}

		clearTimeout(this.#frameTimer);
		this.#frameTimer = undefined;
		this.#timedFrame = frameCount;
		if (isTimed) {
			this.#frameTimer = setTimeout(() => {
				this.socket.destroy();
			}, maxFrameMs);
			this.#frameTimer.unref();
		}
	}
}
