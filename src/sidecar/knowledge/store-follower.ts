/** Follows what operators and sidecars write to the shared table. */
import {type Logger} from '../../reporting/logger.ts';
import {type Row, type SharedTable} from '../ports.ts';
import {type Member} from '../types.ts';
import {decodeMember} from './member-codec.ts';
import {TableFollower} from './table-follower.ts';

/**
 * Longest wait for a new configuration in one call. It bounds how long a dead connection goes unnoticed;
 * with waits of different length some sidecar notices soon, and its peers hear of the version from it.
 */
const configWaitMs = {least: 7000, span: 6000} as const;
/** Members change more often, and refusals correct an outdated view at once. */
const memberWaitMs = 15_000;
const configPauseMs = 20;
/** Changes of members come in bursts; one call fetches those of this span. */
const memberPauseMs = 700;

export type StoreFollowerOptions = {
	readonly table: SharedTable;
	readonly configKey: string;
	readonly instance: string;
	readonly logger: Logger;
	handleConfig(source: string): void;
	handleOwnRow(row: Row | undefined): void;
	handleMember(member: Member): void;
	handleRemoved(instance: string): void;
};

export class StoreFollower {
	/**
	 * @example
	 * const follower = StoreFollower.create(options);
	 * follower.start();
	 */
	static create(options: StoreFollowerOptions): StoreFollower {
		return new StoreFollower(options);
	}

	readonly #config: TableFollower;
	readonly #members: TableFollower;

	private constructor(private readonly options: StoreFollowerOptions) {
		this.#config = this.#createConfigFollower();
		this.#members = this.#createMemberFollower();
	}

	/** Whether the store did not answer the last call for one of the tables. */
	get isLost(): boolean {
		return this.#config.isLost || this.#members.isLost;
	}

	start(): void {
		this.#config.start();
		this.#members.start();
	}

	stop(): void {
		this.#config.stop();
		this.#members.stop();
	}

	#createConfigFollower(): TableFollower {
		const {table, logger, configKey} = this.options;
		const handle = (rows: readonly Row[]) => {
			for (const row of rows) {
				if (row.key === configKey && row.value !== undefined) {
					this.options.handleConfig(row.value);
				}
			}
		};

		return TableFollower.create({
			table,
			logger,
			name: 'operator',
			waitMs: Math.round(configWaitMs.least + Math.random() * configWaitMs.span),
			pauseMs: configPauseMs,
			handleAll: handle,
			handleChanges: handle,
		});
	}

	#createMemberFollower(): TableFollower {
		const {table, logger, instance} = this.options;
		return TableFollower.create({
			table,
			logger,
			name: 'members',
			waitMs: memberWaitMs,
			pauseMs: memberPauseMs,
			handleAll: rows => {
				this.options.handleOwnRow(rows.find(row => row.key === instance));
				this.#handleRows(rows);
			},
			handleChanges: rows => {
				for (const row of rows) {
					if (row.key === instance) {
						this.options.handleOwnRow(row);
					}
				}

				this.#handleRows(rows);
			},
		});
	}

	#handleRows(rows: readonly Row[]): void {
		for (const {key, value} of rows) {
			if (value === undefined) {
				this.options.handleRemoved(key);
				continue;
			}

			const member = decodeMember(value);
			if (member === undefined) {
				this.options.logger.warn({key}, 'row of the members is no announcement');
			} else {
				this.options.handleMember(member);
			}
		}
	}
}
