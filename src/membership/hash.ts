/**
 * Short hash for digests and ranks. It makes accidental collisions unlikely but does not protect
 * against forgery.
 */
import {createHash} from 'node:crypto';

/** Number of possible hash values. */
export const hashRange = 2 ** 32;

/**
 * Computes a 32-bit hash of a text.
 *
 * @example
 * const rank = computeHash(`${dataCentre}/${server}`);
 */
export function computeHash(text: string): number {
	return createHash('sha256').update(text).digest().readUInt32BE(0);
}
