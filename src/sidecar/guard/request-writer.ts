/** Writes requests to the connection of a backend server. */
import type net from 'node:net';
import {encodeChunk} from './request-body.ts';

export class RequestWriter {
	/**
	 * @example
	 * const writer = RequestWriter.create(socket);
	 * writer.send({head, body, isWhole: true});
	 */
	static create(socket: net.Socket): RequestWriter {
		return new RequestWriter(socket);
	}

	#isSent = false;

	private constructor(private readonly socket: net.Socket) {}

	/** Whether the request was written to its end. */
	get isSent(): boolean {
		return this.#isSent;
	}

	/** Writes a request head and the whole body, or only the head if chunks follow. */
	send({head, body, isWhole}: {head: string; body: Uint8Array; isWhole: boolean}): void {
		this.#isSent = isWhole;
		if (body.length === 0) {
			this.socket.write(head, 'latin1');
			return;
		}

		this.socket.cork();
		this.socket.write(head, 'latin1');
		this.socket.write(body);
		this.socket.uncork();
	}

	/** Writes a part of a body; `handleTaken` is called when the socket has taken it. */
	sendChunk(chunk: Uint8Array, handleTaken: () => void): void {
		this.socket.write(encodeChunk(chunk), (error?: unknown) => {
			// A failure is reported by the events of the connection.
			if (!(error instanceof Error)) {
				handleTaken();
			}
		});
	}

	sendLastChunk(): void {
		this.#isSent = true;
		this.socket.write('0\r\n\r\n', 'latin1');
	}
}
