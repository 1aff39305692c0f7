/**
 * Spreads what is known of crashes (rumor mongering with anti-entropy). What is new to an instance goes on at once to a
 * few random peers; what matters is repeated each second to others, for those that were missed, cut off or not started.
 */
import {type CrashEntry, encodeCrashUpdate, maxEntries} from './crash-message.ts';

/** Peers that get what is new. */
const newsPeers = 3;
/** Peers that get the suspects of several ends, each second. */
const repeatPeers = 2;
/** News of this time go into one message. */
const batchMs = 60;
const repeatMs = 1000;
/** Entries of a repeated message. */
const maxRepeated = 16;

export type CrashGossipOptions = {
	/** Runs a function after a time, or each time that it has passed. */
	readonly timers: {
		setTimeout(run: () => void, delayMs: number): void;
		setInterval(run: () => void, delayMs: number): () => void;
	};
	/** Picks random peers. */
	pickPeers(count: number): readonly string[];
	send(peer: string, text: string): void;
	/** Lists what is to be repeated. */
	listEntries(limit: number): readonly CrashEntry[];
};

export class CrashGossip {
	/**
	 * @example
	 * const gossip = CrashGossip.create(options);
	 * gossip.start();
	 * gossip.broadcast(freshEntries);
	 */
	static create(options: CrashGossipOptions): CrashGossip {
		return new CrashGossip(options);
	}

	#news: CrashEntry[] = [];
	#stop: (() => void) | undefined;

	private constructor(private readonly options: CrashGossipOptions) {}

	start(): void {
		this.#stop = this.options.timers.setInterval(() => {
			const entries = this.options.listEntries(maxRepeated);
			if (entries.length > 0) {
				this.#send(entries, repeatPeers);
			}
		}, repeatMs);
	}

	stop(): void {
		this.#stop?.();
	}

	/** Spreads entries that were new to this instance. */
	broadcast(entries: readonly CrashEntry[]): void {
		if (entries.length === 0) {
			return;
		}

		if (this.#news.length === 0) {
			this.options.timers.setTimeout(() => {
				const news = this.#news;
				this.#news = [];
				this.#send(news, newsPeers);
			}, batchMs);
		}

		this.#news = [...this.#news, ...entries].slice(0, maxEntries);
	}

	#send(entries: readonly CrashEntry[], peerCount: number): void {
		const text = encodeCrashUpdate({entries});
		for (const peer of this.options.pickPeers(peerCount)) {
			this.options.send(peer, text);
		}
	}
}
