/**
 * Schemas of single settings, shared by the programs. All values of an INI file are strings.
 */
import * as z from 'zod/mini';

/** A whole number in decimal digits, from `min` to `max`. */
export const wholeNumber = (min: number, max: number) =>
	z.pipe(
		z.pipe(z.string().check(z.regex(/^\d{1,15}$/v, `not a whole number`)), z.transform(Number)),
		z
			.number()
			.check(
				z.gte(min, `not in the range ${min} to ${max}`),
				z.lte(max, `not in the range ${min} to ${max}`),
			),
	);

/** A TCP port; with 0, the operating system chooses a free port. */
export const port = () => wholeNumber(0, 65_535);

/** Name of a server, service, data centre or region. */
export const name = () =>
	z
		.string()
		.check(z.regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'use lower-case letters, digits and hyphens'));

/** An IPv4 address; processes connect to each other by address, without name resolution. */
export const ipAddress = () => z.ipv4('not an IPv4 address');

/** A secret key; keys are compared in constant time. */
export const secret = () => z.string().check(z.minLength(16, 'shorter than 16 characters'));

/** URL of a service of the platform. */
export const httpUrl = () => z.url({protocol: /^https?$/v, error: 'not an http or https URL'});

/** Non-empty text. */
export const nonEmptyText = () => z.string().check(z.minLength(1, 'empty'));
