/**
 * Errors of the routing layer.
 */

/** A broken invariant of the router; never expected. */
export class RoutingInvariantError extends Error {
	/**
	 * @example
	 * throw RoutingInvariantError.create('2 of 2 servers are ejected');
	 */
	static create(reason: string): RoutingInvariantError {
		return new RoutingInvariantError(`routing is inconsistent: ${reason}`);
	}

	override readonly name = 'RoutingInvariantError';

	private constructor(message: string) {
		super(message);
	}
}
