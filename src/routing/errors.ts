/**
 * Errors of the routing layer.
 */

/** Thrown when an invariant of the router is violated, which indicates a bug in the router. */
export class RoutingInvariantError extends Error {
	/**
	 * @example
	 * throw RoutingInvariantError.create('2 servers are ejected, but at most 1 may be');
	 */
	static create(violation: string): RoutingInvariantError {
		return new RoutingInvariantError(`routing invariant violated: ${violation}`);
	}

	override readonly name = 'RoutingInvariantError';

	private constructor(message: string) {
		super(message);
	}
}
