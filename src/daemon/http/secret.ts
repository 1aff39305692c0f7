/**
 * Comparison of keys in constant time.
 */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

/** A key that can be compared, and can't be read back. */
export class SecretKey {
	/**
	 * @example
	 * const key = SecretKey.create(settings.keys.peer);
	 */
	static create(text: string): SecretKey {
		return new SecretKey(computeDigest(text));
	}

	readonly #digest: Uint8Array;
	/** Text that matched last, which saves the digest for a peer that repeats its key. */
	#matched: Uint8Array | undefined;

	private constructor(digest: Uint8Array) {
		this.#digest = digest;
	}

	/**
	 * Compares a candidate without telling by its time how much of it was right.
	 *
	 * @example
	 * const allowed = key.isEqual(request.headers['primrosevalve-peer-key']);
	 */
	isEqual(candidate: string | string[] | undefined): boolean {
		if (typeof candidate !== 'string') {
			return false;
		}

		if (this.#matched !== undefined && this.#matched.length === candidate.length) {
			return timingSafeEqual(this.#matched, Buffer.from(candidate, 'latin1'));
		}

		const equal = timingSafeEqual(this.#digest, computeDigest(candidate));
		if (equal) {
			this.#matched = Buffer.from(candidate, 'latin1');
		}

		return equal;
	}
}

function computeDigest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
