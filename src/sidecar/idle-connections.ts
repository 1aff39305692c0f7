/** A pool's idle connections, ordered by their last use. */

/** Connection that can be kept in the list. */
export type IdleConnection = {
	/** When it became idle, on the monotonic clock. */
	idleSinceMs: number;
	close(): void;
};

export class IdleConnections<Connection extends IdleConnection> {
	/**
	 * @example
	 * const idle = IdleConnections.create<Link>();
	 * idle.add(link);
	 */
	static create<Connection extends IdleConnection>(): IdleConnections<Connection> {
		return new IdleConnections<Connection>();
	}

	/** The most recently used connection is last. */
	#list: Connection[] = [];

	private constructor() {
		// Instances are created with `create`.
	}

	get length(): number {
		return this.#list.length;
	}

	add(connection: Connection): void {
		connection.idleSinceMs = performance.now();
		this.#list.push(connection);
	}

	/** Returns the most recently used connection and keeps it in the list. */
	readLast(): Connection | undefined {
		return this.#list.at(-1);
	}

	/** Removes and returns the most recently used connection. */
	takeLast(): Connection | undefined {
		return this.#list.pop();
	}

	/** Removes a connection that has closed. */
	remove(connection: Connection): void {
		this.#list = this.#list.filter(each => each !== connection);
	}

	/** Closes and removes the connections that match a predicate. */
	closeWhere(shouldClose: (connection: Connection) => boolean): void {
		const all = this.#list;
		this.#list = [];
		for (const connection of all) {
			if (shouldClose(connection)) {
				connection.close();
			} else {
				this.#list.push(connection);
			}
		}
	}

	/** Closes connections that were idle before a given time, after one of them proved to be dead. */
	closeBefore(timeMs: number): void {
		this.closeWhere(each => each.idleSinceMs < timeMs);
	}
}
