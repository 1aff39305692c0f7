/**
 * Header rules for messages that the daemon passes on.
 */
import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';
import {headerPrefix} from '../../call/headers.ts';

/** Headers of one connection only; they are never passed on. */
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
 * Copies the headers that go through end to end, without those of the control layer.
 *
 * @example
 * const headers = convertToEndToEnd(request.headers);
 */
export function convertToEndToEnd(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
	const passed: OutgoingHttpHeaders = {};
	for (const name in headers) {
		if (hopByHopHeaders.has(name) || name.startsWith(headerPrefix)) {
			continue;
		}

		const value = headers[name];
		if (value !== undefined) {
			passed[name] = value;
		}
	}

	return passed;
}
