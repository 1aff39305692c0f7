/**
 * A bounded map from nonces to values that forgets the oldest nonces by their own time.
 *
 * What it forgets moves a watermark, so that a forgotten nonce is always told from a new one. Clocks
 * decide only about what is forgotten first.
 */
import {parseNonceTime} from './nonce.ts';

/** Trailing digits of a nonce's time that one generation spans: 36 ** 2 = 1296 ms. */
const generationDigits = 2;

/** Reads the generation of a nonce: the nonces of about one second. */
function readGeneration(nonce: string): string | undefined {
	return parseNonceTime(nonce)?.slice(0, -generationDigits);
}

/** Values by nonce. */
export class RecentMap<Value> {
	/**
	 * @example
	 * const states = RecentMap.create<'killed'>(20_000);
	 */
	static create<Value>(maxSize: number): RecentMap<Value> {
		return new RecentMap<Value>(maxSize);
	}

	private readonly generations = new Map<string, Map<string, Value>>();
	private size = 0;
	private watermark = '';

	private constructor(private readonly maxSize: number) {}

	/** Reads the value of a nonce. */
	read(nonce: string): Value | undefined {
		return this.generations.get(readGeneration(nonce) ?? '')?.get(nonce);
	}

	/** Tells whether a nonce may have been here; true for text that is not a nonce. */
	isForgotten(nonce: string): boolean {
		const generation = readGeneration(nonce);
		return generation === undefined || generation <= this.watermark;
	}

	/** Sets the value of a nonce that is not forgotten. */
	set(nonce: string, value: Value): void {
		const name = readGeneration(nonce);
		if (name === undefined || name <= this.watermark) {
			throw new RangeError(`nonce "${nonce}" is forgotten and can't be set`);
		}

		const generation = this.generations.get(name) ?? new Map<string, Value>();
		this.generations.set(name, generation);
		this.size += generation.has(nonce) ? 0 : 1;
		generation.set(nonce, value);
		while (this.size > this.maxSize) {
			this.pruneOldest();
		}
	}

	/** Removes a nonce as if it had never been here. */
	remove(nonce: string): void {
		const generation = this.generations.get(readGeneration(nonce) ?? '');
		if (generation?.delete(nonce)) {
			this.size--;
		}
	}

	/** Number of nonces that are remembered. */
	count(): number {
		return this.size;
	}

	/** Forgets the oldest generation by the nonces' own time, so that one fast clock does no harm. */
	private pruneOldest(): void {
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
