/**
 * A bounded map from nonces to values that evicts the nonces with the oldest time.
 *
 * Each eviction raises a watermark, so that an evicted nonce is never mistaken for a new one. Clock
 * errors affect only which nonces are evicted first.
 */
import {parseNonceTime} from './nonce.ts';

/** Trailing base-36 digits of a nonce's time that one generation spans: 36 ** 2 = 1296 ms. */
const generationDigits = 2;

/**
 * Parses the generation of a nonce; a generation holds the nonces of 1296 ms and is evicted as a
 * whole.
 */
function parseGeneration(nonce: string): string | undefined {
	return parseNonceTime(nonce)?.slice(0, -generationDigits);
}

/** Map from nonces to values that holds at most `maxSize` nonces. */
export class BoundedNonceMap<Value> {
	/**
	 * @example
	 * const states = BoundedNonceMap.create<'killed'>(20_000);
	 */
	static create<Value>(maxSize: number): BoundedNonceMap<Value> {
		return new BoundedNonceMap<Value>(maxSize);
	}

	private readonly generations = new Map<string, Map<string, Value>>();
	private size = 0;
	private watermark = '';

	private constructor(private readonly maxSize: number) {}

	read(nonce: string): Value | undefined {
		return this.generations.get(parseGeneration(nonce) ?? '')?.get(nonce);
	}

	/** Returns whether a nonce may have been evicted; true for text that is not a nonce. */
	isForgotten(nonce: string): boolean {
		const generation = parseGeneration(nonce);
		return generation === undefined || generation <= this.watermark;
	}

	/**
	 * Sets the value of a nonce, and evicts the oldest generations above the maximum size.
	 *
	 * @throws RangeError if the nonce may have been evicted
	 */
	set(nonce: string, value: Value): void {
		const name = parseGeneration(nonce);
		if (name === undefined || name <= this.watermark) {
			throw new RangeError(`nonce "${nonce}" is malformed or evicted and can't be set`);
		}

		const generation = this.generations.get(name) ?? new Map<string, Value>();
		this.generations.set(name, generation);
		this.size += generation.has(nonce) ? 0 : 1;
		generation.set(nonce, value);
		while (this.size > this.maxSize) {
			this.evictOldestGeneration();
		}
	}

	/** Removes a nonce without moving the watermark, so that it may be set again. */
	remove(nonce: string): void {
		const generation = this.generations.get(parseGeneration(nonce) ?? '');
		if (generation?.delete(nonce)) {
			this.size--;
		}
	}

	/** Returns the number of nonces in the map. */
	count(): number {
		return this.size;
	}

	/**
	 * Evicts the generation with the oldest nonces, so that a nonce from a fast clock doesn't evict
	 * the others.
	 */
	private evictOldestGeneration(): void {
		let oldest: string | undefined;
		for (const name of this.generations.keys()) {
			if (oldest === undefined || name < oldest) {
				oldest = name;
			}
		}

		if (oldest === undefined) {
			return;
		}

		this.size -= this.generations.get(oldest)!.size;
		this.generations.delete(oldest);
		this.watermark = oldest;
	}
}
