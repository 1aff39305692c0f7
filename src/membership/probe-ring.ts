/**
 * Order in which the members of a data centre are pinged: all of them once, then in a new order.
 */

export class ProbeRing {
	/**
	 * `random` gives numbers from 0 up to 1.
	 *
	 * @example
	 * const ring = ProbeRing.create(Math.random);
	 */
	static create(random: () => number): ProbeRing {
		return new ProbeRing(random);
	}

	#waiting: string[] = [];

	private constructor(private readonly random: () => number) {}

	/** Puts a new member at a random place among those that wait. */
	add(server: string): void {
		const place = Math.floor(this.random() * (this.#waiting.length + 1));
		this.#waiting.splice(place, 0, server);
	}

	/**
	 * Picks the next member for which `canProbe` holds.
	 *
	 * @example
	 * const server = ring.pick(servers, name => name !== self);
	 */
	pick(servers: ReadonlySet<string>, canProbe: (server: string) => boolean): string | undefined {
		for (let round = 0; round < 2; round++) {
			let server = this.#waiting.pop();
			while (server !== undefined) {
				if (servers.has(server) && canProbe(server)) {
					return server;
				}

				server = this.#waiting.pop();
			}

			this.#waiting = shuffle(servers, this.random);
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
