/** The beginning of an answer's body, which is kept until the answer is whole or too long to be kept. */
import {Buffer} from 'node:buffer';

/** Shared by all connections: each read is copied out of it immediately. */
export const readBuffer = Buffer.allocUnsafe(64 * 1024);
/** More parts than this are copied into one: each may keep a whole read buffer in memory. */
const maxParts = 16;

export class AnswerBuffer {
	/**
	 * @example
	 * const buffer = AnswerBuffer.create();
	 * buffer.add(chunk);
	 */
	static create(): AnswerBuffer {
		return new AnswerBuffer();
	}

	#parts: Uint8Array[] = [];
	#bytes = 0;

	private constructor() {
		// Instances are created with `create`.
	}

	get length(): number {
		return this.#bytes;
	}

	add(part: Uint8Array): void {
		this.#parts.push(part);
		this.#bytes += part.length;
		if (this.#parts.length > maxParts) {
			this.#parts = [copyParts(this.#parts, this.#bytes)];
		}
	}

	/** Removes and returns what was added, as one. */
	removeAll(): Uint8Array {
		const parts = this.#parts;
		this.#parts = [];
		this.#bytes = 0;
		return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
	}
}

/**
 * Joins the parts of a body that one read brought; what is passed on keeps no more memory than twice its length.
 *
 * @param readBytes - length of the read, framing included
 * @example
 * const chunk = joinParts(parts, read.length);
 */
export function joinParts(parts: readonly Uint8Array[], readBytes: number): Uint8Array {
	const [first] = parts;
	if (parts.length === 1 && first!.length * 2 >= readBytes) {
		return first!;
	}

	let bytes = 0;
	for (const part of parts) {
		bytes += part.length;
	}

	return copyParts(parts, bytes);
}

function copyParts(parts: readonly Uint8Array[], bytes: number): Uint8Array {
	// A buffer of its own: one from the shared pool would keep the pool's in memory.
	const copy = Buffer.allocUnsafeSlow(bytes);
	let offset = 0;
	for (const part of parts) {
		copy.set(part, offset);
		offset += part.length;
	}

	return copy;
}
