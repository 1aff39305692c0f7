/**
 * Idempotency keys that daemons mint.
 *
 * A minted key names the only guard instance on which its call may run. It therefore needs no claim and
 * works during an outage of the platform.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {parseNonceTime} from './nonce.ts';

/** Prefix of minted keys; callers can't choose keys that begin with it. */
export const mintedKeyPrefix = 'pv1.';

/** Length of the truncated HMAC: 128 bits. */
const macHexDigits = 32;

/** Content of a minted key. */
export type MintedKey = {
	readonly service: string;
	readonly caller: string;
	/** The only guard instance on which the call may run. */
	readonly instanceId: string;
	readonly nonce: string;
};

/** Computes the HMAC that binds a key to its service, caller and instance. */
function computeMac(key: MintedKey, secret: string): string {
	const text = JSON.stringify([key.service, key.caller, key.instanceId, key.nonce]);
	return createHmac('sha256', secret).update(text).digest('hex').slice(0, macHexDigits);
}

/** Compares two HMACs in constant time. */
function isSameMac(given: string, expected: string): boolean {
	const givenBytes = Buffer.from(given);
	const expectedBytes = Buffer.from(expected);
	return givenBytes.length === expectedBytes.length && timingSafeEqual(givenBytes, expectedBytes);
}

/**
 * Formats and signs a minted key.
 *
 * @param secret - the secret that all daemons share
 * @example
 * signMintedKey({service: 'commandes', caller: 'atelier-1', instanceId: 'i-1', nonce}, secret);
 */
export function signMintedKey(key: MintedKey, secret: string): string {
	const instance = Buffer.from(key.instanceId).toString('base64url');
	return `${mintedKeyPrefix}${instance}.${key.nonce}.${computeMac(key, secret)}`;
}

/**
 * Parses a minted key and verifies its signature.
 *
 * @returns undefined if no daemon minted it for this caller and service
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
