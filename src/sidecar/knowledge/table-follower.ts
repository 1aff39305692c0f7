/** Follows one table of the store: reads it once, then its changes, for as long as the process runs. */
import {type Logger} from '../../reporting/logger.ts';
import {type Row, type SharedTable, type StoreFailure, type TableName} from '../ports.ts';

/** Pause after a call that failed, doubled up to the longest; jittered so that instances spread. */
const firstRetryMs = 100;
const maxRetryMs = 1000;

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

	/** When the store last answered, on the steady clock; undefined before the first answer. */
	lastContactMs: number | undefined;
	#isLost = false;
	#version: number | undefined;
	#retryMs = firstRetryMs;
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
				await waitMs(this.options.pauseMs);
			} else if (failure.kind === 'compacted') {
				this.#version = undefined;
				this.options.logger.warn(
					{table: this.options.name},
					'history of the store is gone, reading anew',
				);
			} else {
				this.#handleLoss(failure);
				await waitMs(this.#retryMs * (0.5 + Math.random()));
				this.#retryMs = Math.min(maxRetryMs, this.#retryMs * 2);
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
		this.lastContactMs = performance.now();
		this.#retryMs = firstRetryMs;
		if (this.#isLost) {
			this.#isLost = false;
			this.options.logger.info({table: this.options.name}, 'store is back');
		}
	}

	#handleLoss(failure: StoreFailure): void {
		if (!this.#isLost) {
			this.#isLost = true;
			const reason = failure.kind === 'unavailable' ? failure.reason : failure.kind;
			this.options.logger.warn({table: this.options.name, reason}, 'store is lost');
		}
	}
}

async function waitMs(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
