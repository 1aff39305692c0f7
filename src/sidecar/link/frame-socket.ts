/** A socket that carries frames. */
import type net from 'node:net';
import {encodeFrame, type Frame, FrameReader, type FrameType} from './frames.ts';

/** After this time without traffic the kernel asks whether the other side is still there. */
const keepAliveMs = 1000;

export type FrameSocketListener = {
	handleFrame(frame: Frame): void;
	handleDrain(): void;
	/** The connection is gone, once. */
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

	private constructor(
		private readonly socket: net.Socket,
		listener: FrameSocketListener,
	) {
		socket.setNoDelay(true);
		socket.setKeepAlive(true, keepAliveMs);
		socket.on('data', chunk => {
			const isSound = this.#reader.read(chunk, frame => {
				listener.handleFrame(frame);
			});
			if (!isSound) {
				socket.destroy();
			}
		});
		socket.on('drain', () => {
			listener.handleDrain();
		});
		socket.on('error', () => {
			// The close event that follows reports the loss.
		});
		socket.on('close', () => {
			listener.handleClosed();
		});
	}

	/** Sends one frame; false asks for a pause until the drain. */
	send(type: FrameType, head: string, body?: Uint8Array): boolean {
		return this.socket.write(encodeFrame(type, head, body));
	}

	setPaused(isPaused: boolean): void {
		if (isPaused) {
			this.socket.pause();
		} else {
			this.socket.resume();
		}
	}

	close(): void {
		this.socket.destroy();
	}
}
