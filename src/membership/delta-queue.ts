/**
 * Queue of changed member records that are still to be gossiped, each a bounded number of times.
 */

export class DeltaQueue {
	/**
	 * `sendsPerDoubling` is the number of sends of each change, per doubling of the number of
	 * members.
	 *
	 * @example
	 * const queue = DeltaQueue.create(2);
	 */
	static create(sendsPerDoubling: number): DeltaQueue {
		return new DeltaQueue(sendsPerDoubling);
	}

	/** Number of sends so far, by server name. */
	readonly #sendCounts = new Map<string, number>();

	private constructor(private readonly sendsPerDoubling: number) {}

	get size(): number {
		return this.#sendCounts.size;
	}

	/** Queues a server's record and resets its number of sends. */
	add(server: string): void {
		this.#sendCounts.set(server, 0);
	}

	remove(server: string): void {
		this.#sendCounts.delete(server);
	}

	/**
	 * Picks the servers whose records were sent least often, and counts them as sent.
	 *
	 * @example
	 * const servers = queue.pick(8, table.liveCount);
	 */
	pick(maxCount: number, memberCount: number): string[] {
		if (this.#sendCounts.size === 0) {
			return [];
		}

		const maxSends = this.sendsPerDoubling * Math.ceil(Math.log2(memberCount + 2));
		const queued = [...this.#sendCounts].toSorted((a, b) => a[1] - b[1]);
		const picked: string[] = [];
		for (const [server, sendCount] of queued) {
			if (picked.length >= maxCount) {
				break;
			}

			picked.push(server);
			if (sendCount + 1 >= maxSends) {
				this.#sendCounts.delete(server);
			} else {
				this.#sendCounts.set(server, sendCount + 1);
			}
		}

		return picked;
	}
}
