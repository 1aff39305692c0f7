/** Checks of the headers of a backend server's answer. */
import http from 'node:http';

const lengthHeaders = new Set(['content-length', 'transfer-encoding']);

/** Whether the headers determine where the body ends. */
export function hasLengthHeader(rawHeaders: readonly string[]): boolean {
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (lengthHeaders.has(rawHeaders[index]!.toLowerCase())) {
			return true;
		}
	}

	return false;
}

/**
 * Checks that each header can be relayed.
 *
 * @throws {TypeError} when node:http would refuse to write a header
 * @example
 * checkHeaders(['Bad(Name', '1']); // throws
 */
export function checkHeaders(rawHeaders: readonly string[]): void {
	for (let index = 0; index < rawHeaders.length; index += 2) {
		http.validateHeaderName(rawHeaders[index]!);
		http.validateHeaderValue(rawHeaders[index]!, rawHeaders[index + 1]!);
	}
}
