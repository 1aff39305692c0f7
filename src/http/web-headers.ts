/**
 * The global `Headers` that request signing needs. Node.js would otherwise load a second, built-in
 * copy of undici for it, which stays in memory.
 */
// @ts-expect-error -- The module has no types of its own; the type comes from the platform.
import {Headers as SlimHeaders} from 'undici/lib/web/fetch/headers.js';

/**
 * Defines the global `Headers` from the undici that is loaded already.
 *
 * @example
 * setGlobalHeaders();
 */
export function setGlobalHeaders(): void {
	Object.defineProperty(globalThis, 'Headers', {
		value: SlimHeaders as typeof Headers,
		configurable: true,
		writable: true,
	});
}
