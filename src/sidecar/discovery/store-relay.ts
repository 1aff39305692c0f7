/**
 * Relays what this sidecar reads from the store to the other sidecars of its data centre while it is a watcher,
 * and exchanges overload summaries with them.
 */
import {type Logger} from '../../reporting/logger.ts';
import {type OverloadSummary} from '../overload/overload-summary.ts';
import {type Directory} from './directory.ts';
import {decodeRelay, decodeRelayAnswer, encodeRelay, type TableChanges} from './relay-message.ts';
import {SummaryCollector} from './summary-collector.ts';
import {relayIntervalMs, type WatcherGroup} from './watcher-group.ts';

/** A peer in the same data centre responds within milliseconds; a lost packet adds about 200 ms. */
const responseTimeoutMs = 700;

/** After a relay that follows an answer of the store, the next one by the clock is left out. */
const recentShare = 0.95;

/** Peers that one exchange of summaries reaches; the next exchange goes on with the others. */
export const maxSummaryPeers = 16;

export type StoreRelayOptions = {
	readonly instance: string;
	readonly group: WatcherGroup;
	readonly directory: Pick<Directory, 'findMember'>;
	readonly logger: Logger;
	/** The confirmed state of each table, without rows; empty while the store is unavailable. */
	listConfirmed(nowMs: number): readonly TableChanges[];
	/** Handles changes that a watcher relayed. */
	handleRelayed(changes: TableChanges): void;
	/** Creates the overload summary of this instance. */
	createSummary(nowMs: number): OverloadSummary;
	/** Applies the merged summary of the data centre. */
	applySummary(summary: OverloadSummary, nowMs: number): void;
};

export class StoreRelay {
	/**
	 * @example
	 * const relay = StoreRelay.create(options);
	 * relay.start();
	 */
	static create(options: StoreRelayOptions): StoreRelay {
		return new StoreRelay(options);
	}

	/** Peers with an unanswered relay of the confirmed state. */
	readonly #pending = new Set<string>();
	readonly #collector = SummaryCollector.create();
	#timer: NodeJS.Timeout | undefined;
	#wasWatcher = false;
	#nextSummaryPeer = 0;
	#relayedAtMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly options: StoreRelayOptions) {}

	start(): void {
		this.#timer = setInterval(() => {
			if (performance.now() - this.#relayedAtMs >= relayIntervalMs * recentShare) {
				this.relayConfirmed();
			}
		}, relayIntervalMs);
		this.#timer.unref();
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Relays changes that were just read, if this sidecar is a watcher. */
	relayChanges(changes: TableChanges): void {
		if (!this.options.group.isWatcher(performance.now())) {
			return;
		}

		const text = encodeRelay({relayFrom: this.options.instance, changes: [changes]});
		for (const instance of this.options.group.listPeers()) {
			void this.#send(instance, text);
		}
	}

	/**
	 * Applies a relay and answers it.
	 *
	 * @throws {TypeError} when the text is not a valid relay
	 */
	answerRelay(text: string): string {
		const nowMs = performance.now();
		const {relayFrom, changes, summary} = decodeRelay(text);
		if (changes.length > 0) {
			this.options.group.recordRelay(relayFrom, nowMs);
		}

		for (const each of changes) {
			this.options.handleRelayed(each);
		}

		if (summary === undefined) {
			return '';
		}

		this.options.applySummary(summary, nowMs);
		return JSON.stringify(this.options.createSummary(nowMs));
	}

	/** Relays the confirmed versions, so that followers know of this watcher and of changes that they missed. */
	relayConfirmed(): void {
		const nowMs = performance.now();
		this.#relayedAtMs = nowMs;
		const {group, instance: relayFrom, logger} = this.options;
		const isWatcher = group.isWatcher(nowMs);
		if (isWatcher !== this.#wasWatcher) {
			this.#wasWatcher = isWatcher;
			logger.info({isWatcher}, 'watcher of the store changed');
		}

		const changes = isWatcher ? this.options.listConfirmed(nowMs) : [];
		const summary = isWatcher ? this.#mergeSummaries(nowMs) : undefined;
		if (changes.length === 0 && summary === undefined) {
			return;
		}

		const text = encodeRelay({relayFrom, changes});
		const textWithSummary = encodeRelay({relayFrom, changes, summary});
		const peers = [...group.listPeers()];
		const summaryPeers = summary === undefined ? new Set<string>() : this.#pickSummaryPeers(peers);
		for (const instance of peers) {
			const hasSummary = summaryPeers.has(instance);
			if (!this.#pending.has(instance) && (hasSummary || changes.length > 0)) {
				this.#pending.add(instance);
				void this.#sendAndRecord(instance, hasSummary ? textWithSummary : text);
			}
		}
	}

	/** Picks the next peers in rotation, so that an exchange costs the same in a data centre of any size. */
	#pickSummaryPeers(peers: readonly string[]): Set<string> {
		const picked = new Set<string>();
		for (let count = Math.min(peers.length, maxSummaryPeers); count > 0; count--) {
			picked.add(peers[this.#nextSummaryPeer++ % peers.length]!);
		}

		return picked;
	}

	/** Merges the summaries of the data centre when they are due to be exchanged. */
	#mergeSummaries(nowMs: number): OverloadSummary | undefined {
		const {instance} = this.options;
		this.#collector.record(instance, this.options.createSummary(nowMs), nowMs);
		if (!this.#collector.isDue(nowMs)) {
			return undefined;
		}

		const summary = this.#collector.merge(nowMs);
		this.options.applySummary(summary, nowMs);
		return summary;
	}

	/** Sends a relay and records the summary in the answer. */
	async #sendAndRecord(instance: string, text: string): Promise<void> {
		const answer = await this.#send(instance, text);
		this.#pending.delete(instance);
		const summary = decodeRelayAnswer(answer ?? '');
		if (summary !== undefined) {
			this.#collector.record(instance, summary, performance.now());
		}
	}

	/** Sends a relay; a lost one needs no report, since the next one shows the gap. */
	async #send(instance: string, text: string): Promise<string | undefined> {
		const transport = this.options.directory.findMember(instance)?.transport;
		return transport?.kind === 'link' ? transport.pool.sync(text, responseTimeoutMs) : undefined;
	}
}
