/**
 * Nonces: identifiers of claims and minted keys that sort by creation time.
 */

const timeDigits = 10;
const noncePattern = /^([\da-z]{10})-[\da-f]{16,32}$/v;

/**
 * Formats a nonce.
 *
 * @param nowMs - Unix time in milliseconds; only the order of nonces depends on it, not safety
 * @param random - 16 to 32 hexadecimal digits
 * @example
 * formatNonce(Date.now(), randomBytes(8).toString('hex'));
 */
export function formatNonce(nowMs: number, random: string): string {
	return `${Math.floor(nowMs).toString(36).padStart(timeDigits, '0')}-${random}`;
}

/**
 * Parses the time part of a nonce.
 *
 * @returns the time in milliseconds as base-36 digits; undefined for text that is not a nonce
 * @example
 * parseNonceTime('00mb2k3x1z-0011223344556677'); // '00mb2k3x1z'
 */
export function parseNonceTime(nonce: string): string | undefined {
	return noncePattern.exec(nonce)?.[1];
}
