/** Follows one table of the store: reads it once, then its changes, for as long as the process runs. */
import {setTimeout as wait} from 'node:timers/promises';
import {type Logger} from '../../reporting/logger.ts';
import {
	formatFailure,
	type Row,
	type SharedTable,
	type StoreFailure,
	type TableName,
} from '../ports.ts';
import {RetryPause} from './retry-pause.ts';

/** A store that is back is met within about a second. */
const retryBounds = {firstMs: 100, maxMs: 1000} as const;

export type FollowerOptions = {
	readonly table: SharedTable;
	readonly name: TableName;
	/** Longest wait of one call for changes. */
	readonly waitMs: number;
	/** Pause between calls, so that changes that come together cost one call. */
	readonly pauseMs: number;
	readonly logger: Logger;
	/** All rows of the table as of one moment. */
	handleAll(rows: readonly Row[]): void;
	handleChanges(rows: readonly Row[]): void;
};

export class TableFollower {
	/**
	 * @example
	 * const follower = TableFollower.create(options);
	 * follower.start();
	 */
	static create(options: FollowerOptions): TableFollower {
		return new TableFollower(options);
	}

	#isLost = false;
	#version: number | undefined;
	readonly #pause = RetryPause.create(retryBounds, () => Math.random());
	#isStopped = false;

	private constructor(private readonly options: FollowerOptions) {}

	/** Whether the last call failed. */
	get isLost(): boolean {
		return this.#isLost;
	}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#isStopped = true;
	}

	async #run(): Promise<void> {
		while (!this.#isStopped) {
			const failure =
				this.#version === undefined ? await this.#readAll() : await this.#readChanges();
			if (failure === undefined) {
				this.#handleContact();
				await wait(this.options.pauseMs);
			} else if (failure.kind === 'compacted') {
				this.#version = undefined;
				this.options.logger.warn(
					{table: this.options.name},
					'history of the store is gone, reading anew',
				);
			} else {
				this.#handleLoss(failure);
				await wait(this.#pause.take());
			}
		}
	}

	async #readAll(): Promise<StoreFailure | undefined> {
		const result = await this.options.table.readRows(this.options.name);
		if (result.isErr()) {
			return result.error;
		}

		this.#version = result.value.version;
		this.options.handleAll(result.value.rows);
		return undefined;
	}

	async #readChanges(): Promise<StoreFailure | undefined> {
		const {table, name} = this.options;
		const result = await table.readChanges(name, this.#version!, this.options.waitMs);
		if (result.isErr()) {
			return result.error;
		}

		this.#version = Math.max(this.#version!, result.value.version);
		if (result.value.rows.length > 0) {
			this.options.handleChanges(result.value.rows);
		}

		return undefined;
	}

	#handleContact(): void {
		this.#pause.reset();
		if (this.#isLost) {
			this.#isLost = false;
			this.options.logger.info({table: this.options.name}, 'store is back');
		}
	}

	#handleLoss(failure: StoreFailure): void {
		if (!this.#isLost) {
			this.#isLost = true;
			const reason = formatFailure(failure);
			this.options.logger.warn({table: this.options.name, reason}, 'store is lost');
		}
	}
}
