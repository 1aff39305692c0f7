/**
 * Token bucket for this daemon's share of the bandwidth of the link between regions.
 */

const bitsPerByte = 8;
const msPerSecond = 1000;
/** Capacity of the bucket, as seconds of the rate. */
const burstDurationSeconds = 5;

/** Parameters from which the rate is computed. */
export type LinkBudgetOptions = {
	readonly bitsPerSecond: number;
	/** Share of the link's bandwidth that calls may use. */
	readonly callShare: number;
	/** Number of daemons in the own region, among which the bandwidth is divided evenly. */
	readonly memberCount: number;
};

/**
 * Token bucket in bytes.
 *
 * Answers larger than reserved make the balance negative; calls then wait for the refill.
 */
export class LinkBudget {
	/**
	 * @example
	 * const budget = LinkBudget.create({bitsPerSecond: 30_000_000, callShare: 0.8, memberCount: 700});
	 */
	static create(options: LinkBudgetOptions): LinkBudget {
		const budget = new LinkBudget();
		budget.configure(options);
		budget.#availableBytes = budget.#burstBytes;
		return budget;
	}

	#bytesPerMs = 0;
	#burstBytes = 0;
	#availableBytes = 0;
	#refilledAtMs: number | undefined;

	private constructor() {
		// `create` configures the rate.
	}

	/** Capacity of the bucket in bytes. */
	get burstBytes(): number {
		return this.#burstBytes;
	}

	/**
	 * Sets the rate and the capacity; bytes above the new capacity are discarded.
	 *
	 * @example
	 * budget.configure({bitsPerSecond: 30_000_000, callShare: 0.5, memberCount: 700});
	 */
	configure(options: LinkBudgetOptions): void {
		const linkBytesPerSecond = (options.bitsPerSecond * options.callShare) / bitsPerByte;
		const bytesPerSecond = linkBytesPerSecond / Math.max(1, options.memberCount);
		this.#bytesPerMs = bytesPerSecond / msPerSecond;
		this.#burstBytes = bytesPerSecond * burstDurationSeconds;
		this.#availableBytes = Math.min(this.#availableBytes, this.#burstBytes);
	}

	/**
	 * Refills the bucket and returns whether it holds the given number of bytes.
	 *
	 * @example
	 * if (budget.canSpend(4096, nowMs)) { budget.spend(4096); }
	 */
	canSpend(bytes: number, nowMs: number): boolean {
		this.#refill(nowMs);
		return this.#availableBytes > 0 && this.#availableBytes >= bytes;
	}

	/**
	 * Removes bytes from the bucket, possibly below zero; a negative number returns bytes.
	 *
	 * @example
	 * budget.spend(4096);
	 */
	spend(bytes: number): void {
		this.#availableBytes = Math.min(this.#burstBytes, this.#availableBytes - bytes);
	}

	#refill(nowMs: number): void {
		const elapsedMs = nowMs - (this.#refilledAtMs ?? nowMs);
		this.#refilledAtMs = nowMs;
		this.#availableBytes = Math.min(
			this.#burstBytes,
			this.#availableBytes + elapsedMs * this.#bytesPerMs,
		);
	}
}
