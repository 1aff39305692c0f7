/**
 * Defines the global `Headers` class that request signing needs. Without it, Node.js loads its built-in
 * copy of undici, which stays in memory beside the imported one.
 */
// @ts-expect-error -- The module has no type declarations; the type comes from the type of the global class.
import {Headers as UndiciHeaders} from 'undici/lib/web/fetch/headers.js';

/**
 * Defines the global `Headers` as the class of the undici package that is loaded already.
 *
 * @example
 * defineGlobalHeaders();
 */
export function defineGlobalHeaders(): void {
	Object.defineProperty(globalThis, 'Headers', {
		value: UndiciHeaders as typeof Headers,
		configurable: true,
		writable: true,
	});
}
