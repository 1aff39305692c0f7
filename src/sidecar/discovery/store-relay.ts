/** Relays what this sidecar reads from the store to the other sidecars of its data centre, while it is a watcher. */
import {type Logger} from '../../reporting/logger.ts';
import {type Directory} from './directory.ts';
import {decodeRelay, encodeRelay, type TableChanges} from './relay-message.ts';
import {relayIntervalMs, type WatcherGroup} from './watcher-group.ts';

/** A peer in the same data centre responds within milliseconds; a lost packet adds about 200 ms. */
const responseTimeoutMs = 700;

export type StoreRelayOptions = {
	readonly instance: string;
	readonly group: WatcherGroup;
	readonly directory: Pick<Directory, 'findMember'>;
	readonly logger: Logger;
	/** The confirmed state of each table, without rows; empty while the store is unavailable. */
	listConfirmed(nowMs: number): readonly TableChanges[];
	/** Handles changes that a watcher relayed. */
	handleRelayed(changes: TableChanges): void;
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
	#timer: NodeJS.Timeout | undefined;
	#wasWatcher = false;

	private constructor(private readonly options: StoreRelayOptions) {}

	start(): void {
		this.#timer = setInterval(() => {
			this.#relayConfirmed();
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
		const {relayFrom, changes} = decodeRelay(text);
		this.options.group.recordRelay(relayFrom, performance.now());
		for (const each of changes) {
			this.options.handleRelayed(each);
		}

		return '';
	}

	/** Relays the confirmed versions, so that followers know of this watcher and of changes that they missed. */
	#relayConfirmed(): void {
		const nowMs = performance.now();
		const {group, instance: relayFrom, logger} = this.options;
		const isWatcher = group.isWatcher(nowMs);
		if (isWatcher !== this.#wasWatcher) {
			this.#wasWatcher = isWatcher;
			logger.info({isWatcher}, 'watcher of the store changed');
		}

		const changes = isWatcher ? this.options.listConfirmed(nowMs) : [];
		if (changes.length === 0) {
			return;
		}

		const text = encodeRelay({relayFrom, changes});
		for (const instance of group.listPeers()) {
			if (!this.#pending.has(instance)) {
				this.#pending.add(instance);
				void this.#send(instance, text).finally(() => {
					this.#pending.delete(instance);
				});
			}
		}
	}

	/** Sends a relay; a lost one needs no report, since the next one shows the gap. */
	async #send(instance: string, text: string): Promise<void> {
		const transport = this.options.directory.findMember(instance)?.transport;
		if (transport?.kind === 'link') {
			await transport.pool.sync(text, responseTimeoutMs);
		}
	}
}
