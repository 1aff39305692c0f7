/**
 * Frames between sidecars: `length | type | head length | head as JSON | body`.
 *
 * One connection carries one exchange at a time, so that a lost packet or a reset harms one request.
 */
import {Buffer} from 'node:buffer';

export const frameTypes = {
	/** Entry to guard: a request, with its whole body or the first part of it. */
	open: 1,
	/** Either way: a part of a body. */
	data: 2,
	/** Either way: the body ends. */
	end: 3,
	/** Entry to guard: nobody waits for the answer any more. */
	cancel: 4,
	/** Guard to entry: the head of an answer, with its whole body or the first part of it. */
	answer: 5,
	/** Guard to entry: the request was not run and never will be. */
	refused: 6,
	/** Guard to entry: the request may have run, and there is no answer. */
	failed: 7,
	/** Entry to guard: what became of a request whose connection was lost? */
	resume: 8,
	/** Either way: asks for newer configuration and members. */
	sync: 9,
	/** Answers a sync. */
	state: 10,
	/** Guard to entry, first on each connection: the incarnation of the guard. */
	hello: 11,
} as const;

export type FrameType = (typeof frameTypes)[keyof typeof frameTypes];

/** Upper bound for one frame; larger bodies are cut into several. */
const maxFrameBytes = 4 * 1024 * 1024;

const lengthBytes = 4;
const fixedBytes = 9;
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
	const frame = Buffer.allocUnsafe(fixedBytes + headBytes + body.length);
	frame.writeUInt32BE(frame.length - lengthBytes, 0);
	frame[4] = type;
	frame.writeUInt32BE(headBytes, 5);
	frame.write(head, fixedBytes, 'utf8');
	frame.set(body, fixedBytes + headBytes);
	return frame;
}

/** Cuts a byte stream into frames. */
export class FrameReader {
	/**
	 * @example
	 * const reader = FrameReader.create();
	 * const isSound = reader.read(chunk, frame => handle(frame));
	 */
	static create(): FrameReader {
		return new FrameReader();
	}

	#rest: Uint8Array = noBody;

	private constructor() {
		// Made by `create`.
	}

	/**
	 * Reads all frames that a chunk completes.
	 *
	 * @returns false when the bytes are no frames; the connection has to be closed then
	 */
	read(chunk: Uint8Array, onFrame: (frame: Frame) => void): boolean {
		let bytes =
			this.#rest.length === 0
				? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length)
				: Buffer.concat([this.#rest, chunk]);
		while (bytes.length >= fixedBytes) {
			const length = bytes.readUInt32BE(0);
			const headBytes = bytes.readUInt32BE(5);
			if (length > maxFrameBytes || headBytes > length) {
				return false;
			}

			if (bytes.length < lengthBytes + length) {
				break;
			}

			const bodyStart = fixedBytes + headBytes;
			const frameEnd = lengthBytes + length;
			const type = bytes[4] as FrameType;
			onFrame({
				type,
				head: bytes.toString('utf8', fixedBytes, bodyStart),
				body: bytes.subarray(bodyStart, frameEnd),
			});
			bytes = bytes.subarray(frameEnd);
		}

		this.#rest = bytes;
		return true;
	}
}
