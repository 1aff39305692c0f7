/**
 * Short hash for digests and ranks; it guards against chance, not against forgery.
 */
import {createHash} from 'node:crypto';

/** Number of values that a hash can take. */
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
