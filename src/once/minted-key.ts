/**
 * Idempotency keys that daemons mint. A minted key names the one guard instance on which it may run, so
 * it needs no claim and goes on through an outage of the platform.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {parseNonceTime} from './nonce.ts';

/** Keys that begin so are minted; callers can't choose them. */
export const mintedKeyPrefix = 'pv1.';

const macHexDigits = 32;

/** What a minted key is good for. */
export type MintedKey = {
	readonly service: string;
	readonly caller: string;
	/** The guard instance on which alone the key may run. */
	readonly instanceId: string;
	readonly nonce: string;
};

/** Computes the code that binds a key to service, caller and instance. */
function computeMac(key: MintedKey, secret: string): string {
	const text = JSON.stringify([key.service, key.caller, key.instanceId, key.nonce]);
	return createHmac('sha256', secret).update(text).digest('hex').slice(0, macHexDigits);
}

/** Compares two codes in constant time. */
function isSameMac(given: string, expected: string): boolean {
	const givenBytes = Buffer.from(given);
	const expectedBytes = Buffer.from(expected);
	return givenBytes.length === expectedBytes.length && timingSafeEqual(givenBytes, expectedBytes);
}

/**
 * Signs a minted key.
 *
 * @param secret - the key that all daemons share
 * @example
 * signMintedKey({service: 'commandes', caller: 'atelier-1', instanceId: 'i-1', nonce}, secret);
 */
export function signMintedKey(key: MintedKey, secret: string): string {
	const instance = Buffer.from(key.instanceId).toString('base64url');
	return `${mintedKeyPrefix}${instance}.${key.nonce}.${computeMac(key, secret)}`;
}

/**
 * Verifies a minted key.
 *
 * @returns undefined when it was not minted by a daemon for this caller and service
 * @example
 * const key = verifyMintedKey(text, 'commandes', 'atelier-1', secret);
 */
export function verifyMintedKey(
	text: string,
	service: string,
	caller: string,
	secret: string,
): MintedKey | undefined {
	const [version, instance = '', nonce = '', mac = '', ...rest] = text.split('.');
	if (`${version}.` !== mintedKeyPrefix || rest.length > 0 || parseNonceTime(nonce) === undefined) {
		return undefined;
	}

	const instanceId = Buffer.from(instance, 'base64url').toString();
	const key: MintedKey = {service, caller, instanceId, nonce};
	return isSameMac(mac, computeMac(key, secret)) ? key : undefined;
}
