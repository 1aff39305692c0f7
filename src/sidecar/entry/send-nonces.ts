/** Names sends, so that a guard tells one from its repeats. */
import {formatNonce} from '../../once/nonce.ts';

/** Hexadecimal digits for the count in a nonce; enough for weeks at a thousand sends a second. */
const countDigits = 8;

export class SendNonces {
	/**
	 * @param incarnation - name of this life of the sidecar
	 * @example
	 * const nonces = SendNonces.create('57dbd7b16aeb');
	 * const nonce = nonces.take();
	 */
	static create(incarnation: string): SendNonces {
		return new SendNonces(incarnation);
	}

	#count = 0;
	private constructor(private readonly incarnation: string) {}

	/** Names one send: its time, then this life of the sidecar and a count. */
	take(): string {
		const count = (this.#count++).toString(16).padStart(countDigits, '0');
		return formatNonce(Date.now(), `${this.incarnation}${count}`);
	}
}
