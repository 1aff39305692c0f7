/**
 * Constant-time comparison of secret keys.
 */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

/** A secret key that can be compared but not read. */
export class SecretKey {
	/**
	 * @example
	 * const key = SecretKey.create(settings.keys.peer);
	 */
	static create(text: string): SecretKey {
		return new SecretKey(computeDigest(text));
	}

	readonly #digest: Uint8Array;
	/** Bytes of the last candidate that matched; saves computing a digest for each request. */
	#lastMatch: Uint8Array | undefined;

	private constructor(digest: Uint8Array) {
		this.#digest = digest;
	}

	/**
	 * Compares a candidate in constant time, so that timing doesn't reveal how much of it is right.
	 *
	 * @example
	 * const allowed = key.isEqual(request.headers['primrosevalve-peer-key']);
	 */
	isEqual(candidate: string | string[] | undefined): boolean {
		if (typeof candidate !== 'string') {
			return false;
		}

		if (this.#lastMatch !== undefined && this.#lastMatch.length === candidate.length) {
			return timingSafeEqual(this.#lastMatch, Buffer.from(candidate, 'latin1'));
		}

		const isEqual = timingSafeEqual(this.#digest, computeDigest(candidate));
		if (isEqual) {
			this.#lastMatch = Buffer.from(candidate, 'latin1');
		}

		return isEqual;
	}
}

function computeDigest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
