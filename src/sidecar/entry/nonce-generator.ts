/** Generates the nonces of attempts, by which a guard distinguishes the attempts of one request. */
import {formatNonce} from '../../once/nonce.ts';

/** Hexadecimal digits of the counter in a nonce; enough for weeks at a thousand attempts per second. */
const countDigits = 8;

export class NonceGenerator {
	/**
	 * @param incarnation - identifies the sidecar process since its start
	 * @example
	 * const nonces = NonceGenerator.create('57dbd7b16aeb');
	 * const nonce = nonces.next();
	 */
	static create(incarnation: string): NonceGenerator {
		return new NonceGenerator(incarnation);
	}

	#count = 0;
	private constructor(private readonly incarnation: string) {}

	/** Creates the next nonce: the current time, then the incarnation of the sidecar and a counter. */
	next(): string {
		const count = (this.#count++).toString(16).padStart(countDigits, '0');
		return formatNonce(Date.now(), `${this.incarnation}${count}`);
	}
}
