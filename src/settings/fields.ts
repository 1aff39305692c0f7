/**
 * Schemas of single settings, shared by the binaries. INI values arrive as text.
 */
import * as z from 'zod/mini';

/** A whole number written in digits, from `min` to `max`. */
export const wholeNumber = (min: number, max: number) =>
	z.pipe(
		z.pipe(z.string().check(z.regex(/^\d{1,15}$/v, `not a whole number`)), z.transform(Number)),
		z
			.number()
			.check(z.gte(min, `not from ${min} to ${max}`), z.lte(max, `not from ${min} to ${max}`)),
	);

/** A TCP port; 0 lets the kernel choose. */
export const port = () => wholeNumber(0, 65_535);

/** A name of a server, service, data centre or region. */
export const name = () =>
	z
		.string()
		.check(z.regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'use lower-case letters, digits and hyphens'));

/** An IPv4 address; processes talk by IP numbers. */
export const ipAddress = () => z.ipv4('not an IPv4 address');

/** A key that is compared in constant time. */
export const secret = () => z.string().check(z.minLength(16, 'shorter than 16 characters'));

/** An HTTP address of the platform. */
export const httpUrl = () => z.url({protocol: /^https?$/v, error: 'not an http or https address'});

/** Text that is not empty. */
export const text = () => z.string().check(z.minLength(1, 'empty'));
