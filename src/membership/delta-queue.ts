/**
 * Changes of members that still have to be told, each a bounded number of times.
 */

export class DeltaQueue {
	/**
	 * `sendsPerDoubling` is how often a change is sent, per doubling of the number of members.
	 *
	 * @example
	 * const queue = DeltaQueue.create(2);
	 */
	static create(sendsPerDoubling: number): DeltaQueue {
		return new DeltaQueue(sendsPerDoubling);
	}

	/** Number of sends so far by server name, the least sent first within each insertion. */
	readonly #sends = new Map<string, number>();

	private constructor(private readonly sendsPerDoubling: number) {}

	get size(): number {
		return this.#sends.size;
	}

	/** Tells of a server's record again from the start. */
	add(server: string): void {
		this.#sends.set(server, 0);
	}

	remove(server: string): void {
		this.#sends.delete(server);
	}

	/**
	 * Picks the servers whose records were sent least, and counts them as sent.
	 *
	 * @example
	 * const servers = queue.pick(8, table.liveCount);
	 */
	pick(maxCount: number, memberCount: number): string[] {
		if (this.#sends.size === 0) {
			return [];
		}

		const maxSends = this.sendsPerDoubling * Math.ceil(Math.log2(memberCount + 2));
		const waiting = [...this.#sends].toSorted((a, b) => a[1] - b[1]);
		const picked: string[] = [];
		for (const [server, sends] of waiting) {
			if (picked.length >= maxCount) {
				break;
			}

			picked.push(server);
			if (sends + 1 >= maxSends) {
				this.#sends.delete(server);
			} else {
				this.#sends.set(server, sends + 1);
			}
		}

		return picked;
	}
}
