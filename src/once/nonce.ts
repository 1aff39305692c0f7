/**
 * Nonces: names of claims and of minted keys that sort by the time of their making.
 */

const timeDigits = 10;
const nonceTail = /^([\da-z]{10})-[\da-f]{16,32}$/v;

/**
 * Formats a nonce.
 *
 * @param nowMs - wall time in milliseconds since 1970; order needs it, safety does not
 * @param random - 16 to 32 hexadecimal digits
 * @example
 * formatNonce(Date.now(), randomBytes(8).toString('hex'));
 */
export function formatNonce(nowMs: number, random: string): string {
	return `${Math.floor(nowMs).toString(36).padStart(timeDigits, '0')}-${random}`;
}

/**
 * Reads the part of a nonce that gives its place in time.
 *
 * @returns undefined for text that is not a nonce
 * @example
 * parseNonceTime('00mb2k3x1z-0011223344556677'); // '00mb2k3x1z'
 */
export function parseNonceTime(nonce: string): string | undefined {
	return nonceTail.exec(nonce)?.[1];
}
