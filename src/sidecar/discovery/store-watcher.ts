/** Watches the shared table for the configuration of operators and the announcements of sidecars. */
import {type Logger} from '../../reporting/logger.ts';
import {type MessageLog} from '../reporting/message-log.ts';
import {type Row, type SharedTable, type StorePosition} from '../shared-table.ts';
import {type Member} from '../types.ts';
import {decodeMember} from './member-codec.ts';
import {type TableChanges} from './relay-message.ts';
import {TableWatcher} from './table-watcher.ts';
import {computeViewTiming} from './view-lease.ts';

/**
 * Longest wait for a new configuration in one call of a sidecar that stands by; the first watcher confirms its view
 * meanwhile. The waits of sidecars differ, so that their calls don't end together.
 */
const standbyWaitMs = {min: 7000, span: 6000} as const;
/** Longer, since members change more often and a refusal corrects an outdated view at once. */
const memberWaitMs = 15_000;
/** A view of the members may be as old as the longest wait, the delay between calls and a slow answer. */
const memberViewLimitMs = 20_000;
const configPollDelayMs = 20;
/**
 * Changes of members come in bursts; one call fetches all changes of this period. The watchers that stand by
 * may be late, since an entry with an outdated view is corrected by the guard's refusal.
 */
const memberPollDelayMs = {first: 900, standby: 3500} as const;

export type StoreWatcherOptions = {
	readonly table: SharedTable;
	readonly configKey: string;
	readonly instance: string;
	readonly logger: Logger;
	readonly messageLog: Pick<MessageLog, 'recordIgnored'>;
	/** Time within which an acknowledged configuration has to be in force. */
	readonly configMs: number;
	handleConfig(source: string, position: StorePosition): void;
	/** Called with the row of this instance, undefined if there is none at the position. */
	handleOwnRow(row: Row | undefined, position: StorePosition): void;
	handleMember(member: Member): void;
	handleRemoved(instance: string): void;
	/** Whether a watcher relays the changes, so that this sidecar makes no calls. */
	isFollowing(): boolean;
	/** Whether this sidecar is the first watcher of its data centre. */
	isFirstWatcher(): boolean;
	/** Called with the changes that a call returned. */
	handleRead(changes: TableChanges): void;
	/** Called when the store has confirmed to the first watcher that the configuration has not changed. */
	handleConfirmed(): void;
	/** The era that the store itself last named. */
	readEra(): number;
	/** Called when a relay names a later era, which the store has to confirm. */
	handleEraHint(): void;
};

export class StoreWatcher {
	/**
	 * @example
	 * const watcher = StoreWatcher.create(options);
	 * watcher.start();
	 */
	static create(options: StoreWatcherOptions): StoreWatcher {
		return new StoreWatcher(options);
	}

	readonly #config: TableWatcher;
	readonly #members: TableWatcher;

	private constructor(private readonly options: StoreWatcherOptions) {
		this.#config = this.#createConfigWatcher();
		this.#members = this.#createMemberWatcher();
	}

	/** Whether the last call for one of the tables failed. */
	get isUnavailable(): boolean {
		return this.#config.isUnavailable || this.#members.isUnavailable;
	}

	/** Time since the store confirmed the known configuration, in milliseconds. */
	readConfigAgeMs(nowMs: number): number {
		return this.#config.readViewAgeMs(nowMs);
	}

	/** The confirmed state of both tables; empty unless the store answers for both. */
	listConfirmed(nowMs: number): readonly TableChanges[] {
		const config = this.#config.readConfirmed(nowMs);
		const members = this.#members.readConfirmed(nowMs);
		return config === undefined || members === undefined ? [] : [config, members];
	}

	/** Applies changes that a watcher relayed. */
	handleRelayed(changes: TableChanges): void {
		switch (changes.table) {
			case 'operator': {
				this.#config.handleRelayed(changes);
				break;
			}

			case 'members': {
				this.#members.handleRelayed(changes);
				break;
			}
		}
	}

	/** Handles a rise of the store's era, as named by the store itself. */
	handleRestored(): void {
		this.#config.handleRestored();
		this.#members.handleRestored();
	}

	start(): void {
		this.#config.start();
		this.#members.start();
	}

	stop(): void {
		this.#config.stop();
		this.#members.stop();
	}

	#createConfigWatcher(): TableWatcher {
		const {table, logger, configKey} = this.options;
		const timing = computeViewTiming(this.options.configMs);
		const longWaitMs = Math.round(standbyWaitMs.min + Math.random() * standbyWaitMs.span);
		const handle = (rows: readonly Row[], {era}: StorePosition) => {
			for (const row of rows) {
				if (row.key === configKey && row.value !== undefined) {
					this.options.handleConfig(row.value, {era, version: row.version});
				}
			}
		};

		return TableWatcher.create({
			table,
			logger,
			name: 'operator',
			viewLimitMs: timing.limitMs,
			computeWaitMs: () => (this.options.isFirstWatcher() ? timing.waitMs : longWaitMs),
			handleConfirmed: () => {
				if (this.options.isFirstWatcher()) {
					this.options.handleConfirmed();
				}
			},
			handleExpired: () => {
				logger.warn({table: 'operator'}, 'a call to the store got no answer in time');
				this.#members.endCall();
			},
			computePollDelayMs: () => configPollDelayMs,
			handleAll: handle,
			handleChanges: handle,
			...this.#createRelayOptions(),
		});
	}

	#createMemberWatcher(): TableWatcher {
		const {table, logger, instance} = this.options;
		return TableWatcher.create({
			table,
			logger,
			name: 'members',
			viewLimitMs: memberViewLimitMs,
			computeWaitMs: () => memberWaitMs,
			handleConfirmed() {
				// The configuration is confirmed more often.
			},
			handleExpired() {
				// The call ends by its own limit at the same time.
			},
			computePollDelayMs: () =>
				this.options.isFirstWatcher() ? memberPollDelayMs.first : memberPollDelayMs.standby,
			handleAll: (rows, position) => {
				const ownRow = rows.find(row => row.key === instance);
				this.options.handleOwnRow(ownRow, position);
				this.#handleRows(rows);
			},
			handleChanges: (rows, {era}) => {
				for (const row of rows) {
					if (row.key === instance) {
						this.options.handleOwnRow(row, {era, version: row.version});
					}
				}

				this.#handleRows(rows);
			},
			...this.#createRelayOptions(),
		});
	}

	#createRelayOptions() {
		return {
			isFollowing: () => this.options.isFollowing(),
			handleRead: (changes: TableChanges) => {
				this.options.handleRead(changes);
			},
			readEra: () => this.options.readEra(),
			handleEraHint: () => {
				this.options.handleEraHint();
			},
		};
	}

	#handleRows(rows: readonly Row[]): void {
		for (const {key, value} of rows) {
			if (value === undefined) {
				this.options.handleRemoved(key);
				continue;
			}

			const member = decodeMember(value);
			if (member === undefined) {
				const reason = 'the row holds no announcement';
				const message = {source: 'members', cause: 'undecodable', reason, sender: key} as const;
				this.options.messageLog.recordIgnored(message);
			} else {
				this.options.handleMember(member);
			}
		}
	}
}
