/**
 * Order in which the members of a data centre are pinged: each member once per round, then a new
 * random order.
 */

export class PingRotation {
	/**
	 * `random` returns numbers from 0 (inclusive) to 1 (exclusive).
	 *
	 * @example
	 * const rotation = PingRotation.create(Math.random);
	 */
	static create(random: () => number): PingRotation {
		return new PingRotation(random);
	}

	#remaining: string[] = [];

	private constructor(private readonly random: () => number) {}

	/** Inserts a new member at a random position in the rest of the current round. */
	add(server: string): void {
		const index = Math.floor(this.random() * (this.#remaining.length + 1));
		this.#remaining.splice(index, 0, server);
	}

	/**
	 * Returns the next member for which `canPing` returns true; undefined if there is none.
	 *
	 * @example
	 * const server = rotation.pick(servers, name => name !== self);
	 */
	pick(servers: ReadonlySet<string>, canPing: (server: string) => boolean): string | undefined {
		for (let round = 0; round < 2; round++) {
			let server = this.#remaining.pop();
			while (server !== undefined) {
				if (servers.has(server) && canPing(server)) {
					return server;
				}

				server = this.#remaining.pop();
			}

			this.#remaining = shuffle(servers, this.random);
		}

		return undefined;
	}
}

function shuffle(servers: Iterable<string>, random: () => number): string[] {
	const shuffled = [...servers];
	for (let last = shuffled.length - 1; last > 0; last--) {
		const other = Math.floor(random() * (last + 1));
		const server = shuffled[last]!;
		shuffled[last] = shuffled[other]!;
		shuffled[other] = server;
	}

	return shuffled;
}
