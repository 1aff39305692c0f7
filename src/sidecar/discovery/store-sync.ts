/** Keeps this sidecar up to date with the store: by its own calls while it is a watcher, else by relays. */
import {type Logger} from '../../reporting/logger.ts';
import {type MessageLog} from '../reporting/message-log.ts';
import {type OverloadSummary} from '../overload/overload-summary.ts';
import {type Row, type StorePosition} from '../shared-table.ts';
import {type Member} from '../types.ts';
import {type Directory} from './directory.ts';
import {type FencedTable} from './fenced-table.ts';
import {OwnRowCheck} from './own-row-check.ts';
import {StoreRelay} from './store-relay.ts';
import {StoreWatcher} from './store-watcher.ts';
import {WatcherGroup} from './watcher-group.ts';

export type StoreSyncOptions = {
	readonly instance: string;
	readonly dataCentre: string;
	readonly table: FencedTable;
	readonly configKey: string;
	/** Time within which an acknowledged configuration has to be in force. */
	readonly configMs: number;
	readonly directory: Directory;
	readonly logger: Logger;
	readonly messageLog: Pick<MessageLog, 'recordIgnored'>;
	handleConfig(source: string, position: StorePosition): void;
	/** Called with the row of this instance, undefined if there is none at the position. */
	handleOwnRow(row: Row | undefined, position: StorePosition): void;
	handleMember(member: Member): void;
	/** Creates the overload summary of this instance, to be merged with those of its data centre. */
	createSummary(nowMs: number): OverloadSummary;
	applySummary(summary: OverloadSummary, nowMs: number): void;
};

export class StoreSync {
	/**
	 * @example
	 * const storeSync = StoreSync.create(options);
	 * storeSync.start();
	 */
	static create(options: StoreSyncOptions): StoreSync {
		return new StoreSync(options);
	}

	readonly #group: WatcherGroup;
	readonly #watcher: StoreWatcher;
	readonly #relay: StoreRelay;
	readonly #ownRowCheck: OwnRowCheck;

	private constructor(private readonly options: StoreSyncOptions) {
		this.#group = WatcherGroup.create(options);
		this.#watcher = this.#createWatcher();
		this.#ownRowCheck = OwnRowCheck.create({...options, random: Math.random});
		this.#relay = StoreRelay.create({
			...options,
			group: this.#group,
			listConfirmed: nowMs => this.#watcher.listConfirmed(nowMs),
			handleRelayed: changes => {
				this.#watcher.handleRelayed(changes);
			},
		});
	}

	/** Whether the last call to the store failed; false while a watcher relays its changes. */
	get isUnavailable(): boolean {
		return this.#watcher.isUnavailable;
	}

	/** Time since the store confirmed the known configuration, in milliseconds. */
	readConfigAgeMs(): number {
		return this.#watcher.readConfigAgeMs(performance.now());
	}

	/** Whether this sidecar watches the store for its data centre. */
	get isWatcher(): boolean {
		return this.#group.isWatcher(performance.now());
	}

	start(): void {
		this.#watcher.start();
		this.#relay.start();
	}

	stop(): void {
		this.#ownRowCheck.stop();
		this.#watcher.stop();
		this.#relay.stop();
	}

	/** Handles a rise of the store's era, as named by the store itself. */
	handleRestored(): void {
		this.#watcher.handleRestored();
		this.#ownRowCheck.schedule('restored');
	}

	/** Records a new announcement: it may change which sidecars watch the store. */
	recordMember(member: Member): void {
		this.#group.recordMember(member, performance.now());
	}

	/**
	 * Applies a relay of a watcher and answers it.
	 *
	 * @throws {TypeError} when the text is not a valid relay
	 */
	answerRelay(text: string): string {
		return this.#relay.answerRelay(text);
	}

	#createWatcher(): StoreWatcher {
		const {directory, table} = this.options;
		return StoreWatcher.create({
			...this.options,
			handleRemoved: instance => {
				directory.remove(instance);
				this.#group.removeMember(instance);
			},
			isFollowing: () => this.#group.isFollowing(performance.now()),
			isFirstWatcher: () => this.#group.isFirstWatcher(performance.now()),
			handleRead: changes => {
				this.#relay.relayChanges(changes);
			},
			handleConfirmed: () => {
				this.#relay.relayConfirmed();
			},
			readEra: () => table.era,
			handleEraHint: () => {
				this.#ownRowCheck.schedule('hint');
			},
		});
	}
}
