/**
 * Frames between sidecars: `length | type | head length | head | body`. The head is text, mostly JSON.
 *
 * A connection carries one exchange at a time, so that a lost packet or a reset affects one request only.
 */
import {Buffer} from 'node:buffer';

export const frameTypes = {
	/** Entry to guard: the head of a request, with its whole body or the first part of it. */
	open: 1,
	/** Both directions: a part of a body. */
	data: 2,
	/** Both directions: end of the body. */
	end: 3,
	/** Entry to guard: the answer is no longer needed. */
	cancel: 4,
	/** Guard to entry: the head of an answer, with its whole body or the first part of it. */
	answer: 5,
	/** Guard to entry: the request was not run and never will be. */
	refused: 6,
	/** Guard to entry: there is no answer, and the request may have run. */
	failed: 7,
	/** Entry to guard: asks for the result of a request whose connection was lost. */
	resume: 8,
	/** From the connecting sidecar: asks for newer configuration and members. */
	sync: 9,
	/** Answer to a sync frame. */
	state: 10,
	/** Guard to entry, first frame on each connection: the incarnation of the guard. */
	hello: 11,
	/** Entry to guard: asks for a `taken` frame, to learn whether the link still works. */
	ping: 12,
	/** Guard to entry: how much of a streamed body the server has taken. */
	taken: 13,
} as const;

export type FrameType = (typeof frameTypes)[keyof typeof frameTypes];

/** Largest accepted frame; longer bodies are sent in several frames. */
const maxFrameBytes = 4 * 1024 * 1024;

const lengthFieldBytes = 4;
const frameHeaderBytes = 9;
const noBody = Buffer.alloc(0);

/** One decoded frame. */
export type Frame = {readonly type: FrameType; readonly head: string; readonly body: Uint8Array};

/**
 * Encodes one frame.
 *
 * @example
 * socket.write(encodeFrame(frameTypes.open, JSON.stringify(head), body));
 */
export function encodeFrame(type: FrameType, head: string, body: Uint8Array = noBody): Uint8Array {
	const headBytes = Buffer.byteLength(head);
	const frame = Buffer.allocUnsafe(frameHeaderBytes + headBytes + body.length);
	frame.writeUInt32BE(frame.length - lengthFieldBytes, 0);
	frame[4] = type;
	frame.writeUInt32BE(headBytes, 5);
	frame.write(head, frameHeaderBytes, 'utf8');
	frame.set(body, frameHeaderBytes + headBytes);
	return frame;
}

/** Splits a byte stream into frames. */
export class FrameReader {
	/**
	 * @example
	 * const reader = FrameReader.create();
	 * const isValid = reader.read(chunk, frame => handle(frame));
	 */
	static create(): FrameReader {
		return new FrameReader();
	}

	/** What has arrived of a frame that is not complete. */
	#parts: Uint8Array[] = [];
	#bytes = 0;
	/** Bytes needed before there is anything to decode. */
	#neededBytes = frameHeaderBytes;
	#frameCount = 0;

	private constructor() {
		// Instances are created with `create`.
	}

	/** Number of whole frames so far. */
	get frameCount(): number {
		return this.#frameCount;
	}

	/** Whether a frame has begun that is not whole. */
	get isWithinFrame(): boolean {
		return this.#bytes > 0;
	}

	/**
	 * Decodes all frames that a chunk completes.
	 *
	 * @returns false when the bytes are not valid frames; the connection must be closed then
	 */
	read(chunk: Uint8Array, onFrame: (frame: Frame) => void): boolean {
		this.#parts.push(chunk);
		this.#bytes += chunk.length;
		if (this.#bytes < this.#neededBytes) {
			return true;
		}

		let bytes =
			this.#parts.length === 1
				? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length)
				: Buffer.concat(this.#parts);
		this.#neededBytes = frameHeaderBytes;
		while (bytes.length >= frameHeaderBytes) {
			const length = bytes.readUInt32BE(0);
			const headBytes = bytes.readUInt32BE(5);
			if (length > maxFrameBytes || headBytes > length) {
				return false;
			}

			if (bytes.length < lengthFieldBytes + length) {
				this.#neededBytes = lengthFieldBytes + length;
				break;
			}

			const bodyStart = frameHeaderBytes + headBytes;
			const frameEnd = lengthFieldBytes + length;
			const type = bytes[4] as FrameType;
			onFrame({
				type,
				head: bytes.toString('utf8', frameHeaderBytes, bodyStart),
				body: bytes.subarray(bodyStart, frameEnd),
			});
			bytes = bytes.subarray(frameEnd);
			this.#frameCount++;
		}

		this.#parts = bytes.length === 0 ? [] : [bytes];
		this.#bytes = bytes.length;
		return true;
	}
}
