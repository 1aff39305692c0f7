/**
 * Rules for the headers of messages that the daemon forwards.
 */
import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';
import {headerPrefix} from '../../call/headers.ts';

/** Hop-by-hop headers, which apply to one connection only and are not forwarded. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'transfer-encoding',
	'te',
	'trailer',
	'upgrade',
	'expect',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
]);

/**
 * Copies the end-to-end headers, without hop-by-hop headers and control headers.
 *
 * @example
 * const headers = copyEndToEndHeaders(request.headers);
 */
export function copyEndToEndHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
	const forwarded: OutgoingHttpHeaders = {};
	for (const name in headers) {
		if (hopByHopHeaders.has(name) || name.startsWith(headerPrefix)) {
			continue;
		}

		const value = headers[name];
		if (value !== undefined) {
			forwarded[name] = value;
		}
	}

	return forwarded;
}
