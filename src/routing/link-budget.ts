/**
 * This daemon's part of the byte budget of a region link, as a token bucket.
 */

const bitsPerByte = 8;
const msPerSecond = 1000;
/** Seconds of the rate that may be saved up. */
const burstSeconds = 5;

/** What the rate is worked out from. */
export type LinkShare = {
	readonly bitsPerSecond: number;
	/** Share of the link that calls may use. */
	readonly callShare: number;
	/** Daemons of the own region, which share the link. */
	readonly memberCount: number;
};

/** Token bucket over bytes. Answers larger than expected put it in debt, which later bytes pay. */
export class LinkBudget {
	/**
	 * @example
	 * const budget = LinkBudget.create({bitsPerSecond: 30_000_000, callShare: 0.8, memberCount: 700});
	 */
	static create(share: LinkShare): LinkBudget {
		const budget = new LinkBudget();
		budget.setShare(share);
		budget.#bytes = budget.#burstBytes;
		return budget;
	}

	#bytesPerMs = 0;
	#burstBytes = 0;
	#bytes = 0;
	#filledAtMs: number | undefined;

	private constructor() {
		// The share is set by `create`.
	}

	/** Largest number of bytes that may be saved up. */
	get burstBytes(): number {
		return this.#burstBytes;
	}

	/**
	 * Changes the rate; bytes saved above the new burst are dropped.
	 *
	 * @example
	 * budget.setShare({bitsPerSecond: 30_000_000, callShare: 0.5, memberCount: 700});
	 */
	setShare(share: LinkShare): void {
		const linkBytesPerSecond = (share.bitsPerSecond * share.callShare) / bitsPerByte;
		const bytesPerSecond = linkBytesPerSecond / Math.max(1, share.memberCount);
		this.#bytesPerMs = bytesPerSecond / msPerSecond;
		this.#burstBytes = bytesPerSecond * burstSeconds;
		this.#bytes = Math.min(this.#bytes, this.#burstBytes);
	}

	/**
	 * Tells whether a call of so many bytes fits now.
	 *
	 * @example
	 * if (budget.hasRoom(4096, nowMs)) { budget.spend(4096); }
	 */
	hasRoom(bytes: number, nowMs: number): boolean {
		this.#fill(nowMs);
		return this.#bytes > 0 && this.#bytes >= bytes;
	}

	/**
	 * Takes bytes, or gives them back where negative.
	 *
	 * @example
	 * budget.spend(4096);
	 */
	spend(bytes: number): void {
		this.#bytes = Math.min(this.#burstBytes, this.#bytes - bytes);
	}

	#fill(nowMs: number): void {
		const elapsedMs = nowMs - (this.#filledAtMs ?? nowMs);
		this.#filledAtMs = nowMs;
		this.#bytes = Math.min(this.#burstBytes, this.#bytes + elapsedMs * this.#bytesPerMs);
	}
}
