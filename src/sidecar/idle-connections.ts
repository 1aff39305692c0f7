/** Connections that wait for their next use. */

/** What the list needs of a connection. */
export type IdleConnection = {
	/** When it became idle, on the steady clock. */
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

	/** The one used last at the end. */
	#list: Connection[] = [];

	private constructor() {
		// Made by `create`.
	}

	get length(): number {
		return this.#list.length;
	}

	add(connection: Connection): void {
		connection.idleSinceMs = performance.now();
		this.#list.push(connection);
	}

	/** Reads the one used last. */
	readLast(): Connection | undefined {
		return this.#list.at(-1);
	}

	/** Takes the one used last out of the list. */
	takeLast(): Connection | undefined {
		return this.#list.pop();
	}

	/** Forgets a connection that has closed. */
	remove(connection: Connection): void {
		this.#list = this.#list.filter(each => each !== connection);
	}

	/** Closes those that fulfil a condition. */
	closeWhere(isClosed: (connection: Connection) => boolean): void {
		const all = this.#list;
		this.#list = [];
		for (const connection of all) {
			if (isClosed(connection)) {
				connection.close();
			} else {
				this.#list.push(connection);
			}
		}
	}

	/** Closes those that were idle before a moment, when one from then turned out to be dead. */
	closeBefore(momentMs: number): void {
		this.closeWhere(each => each.idleSinceMs < momentMs);
	}
}
